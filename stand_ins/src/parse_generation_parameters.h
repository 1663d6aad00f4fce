#pragma once

#include "generation_parameters.h"

#include <nlohmann/json_fwd.hpp>

namespace ej::stand_ins {

/// Parses the body of `POST /generate`. Throws when a field is missing or of the wrong type.
[[nodiscard]] generation_parameters parse_generation_parameters(const nlohmann::json& body);

} // namespace ej::stand_ins
