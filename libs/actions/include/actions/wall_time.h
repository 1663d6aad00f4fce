#pragma once

#include <chrono>

namespace ej::actions {

/// Time of day in whole milliseconds, as VMs agree on it within `claim_limits::clock_skew`.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace ej::actions
