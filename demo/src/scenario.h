#pragma once

#include "demo_fleet.h"

#include <iosfwd>

namespace ej::demo {

/// Streams generations while an engine and a daemon are killed; true if all came whole.
bool run_streams(demo_fleet& fleet, std::ostream& out);

/// Sends one departure confirmation through two daemons at once; true if it ran once.
bool run_confirmation(demo_fleet& fleet, std::ostream& out);

/// Changes a class's target at one daemon; true once it is in force at all that live.
bool run_target_change(demo_fleet& fleet, std::ostream& out);

} // namespace ej::demo
