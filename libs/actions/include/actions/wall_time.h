#pragma once

#include <chrono>

namespace ej::actions {

/// Time of day in whole milliseconds. The error of each VM is at most `claim_limits::clock_skew`.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace ej::actions
