#pragma once

#include "json.h"

#include <string>

namespace ej::wire {

/// Returns the non-empty string field `name`; adds a fault when it is missing, empty or not a
/// string.
std::string text_field(const json& body, const char* name, core::findings& faults);

} // namespace ej::wire
