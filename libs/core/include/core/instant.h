#pragma once

#include <chrono>

namespace ej::core {

/// Length of time; nanosecond resolution.
using duration = std::chrono::steady_clock::duration;

/// Point on the monotonic clock. Decisions receive it as an argument and never read the clock.
using instant = std::chrono::steady_clock::time_point;

} // namespace ej::core
