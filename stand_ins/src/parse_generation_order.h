#pragma once

#include "generation_order.h"

#include <nlohmann/json_fwd.hpp>

namespace ej::stand_ins {

/// Reads the body of `POST /generate`. Throws when a field is missing or of the wrong type.
[[nodiscard]] generation_order parse_generation_order(const nlohmann::json& body);

} // namespace ej::stand_ins
