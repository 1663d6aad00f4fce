#pragma once

#include "fault_control.h"
#include "options.h"
#include "slot_pool.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace ej::stand_ins {

/// The fields of `GET /load` that are common to engines and applications.
[[nodiscard]] nlohmann::json load_report(const options& settings, const std::string& incarnation,
                                         const slot_pool& slots, const fault_control& control);

} // namespace ej::stand_ins
