#pragma once

#include "demo_fleet.h"

#include <iosfwd>

namespace ej::demo {

/// Streams generations while an engine and a daemon are killed; true if all were complete.
bool run_streams(demo_fleet& fleet, std::ostream& out);

/// Sends one departure confirmation through two daemons at once; true if it was executed once.
bool run_confirmation(demo_fleet& fleet, std::ostream& out);

/// Changes the target of a class at one daemon; true once it is in force at all running daemons,
/// false if the change was refused.
bool run_target_change(demo_fleet& fleet, std::ostream& out);

} // namespace ej::demo
