#pragma once

#include "json.h"

#include <string>

namespace ej::wire {

/// The text called `name`, which must not be empty; else a fault.
std::string text_field(const json& body, const char* name, core::findings& faults);

} // namespace ej::wire
