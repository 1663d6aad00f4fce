#pragma once

#include <nlohmann/json.hpp>

namespace ej::config_wire {

using json = nlohmann::json;

} // namespace ej::config_wire
