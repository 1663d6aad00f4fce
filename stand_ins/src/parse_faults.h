#pragma once

#include "faults.h"

#include <nlohmann/json_fwd.hpp>

namespace ej::stand_ins {

/// Returns `current` with the fields in `body` replaced. Throws on a field of the wrong type.
[[nodiscard]] faults parse_faults(const nlohmann::json& body, faults current);

} // namespace ej::stand_ins
