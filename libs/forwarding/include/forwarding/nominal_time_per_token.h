#pragma once

#include <chrono>

namespace ej::forwarding {

/// Time per output token of an engine at nominal speed (the platform specifies 5.05 ms or more per
/// step).
inline constexpr std::chrono::duration<double, std::milli> nominal_time_per_token{5.1};

} // namespace ej::forwarding
