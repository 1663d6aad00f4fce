#pragma once

#include <cstdint>

namespace ej::rollout {

/// A share of requests in thousandths, from 0 to `whole_share`.
using share = std::uint32_t;

inline constexpr share whole_share = 1'000;

} // namespace ej::rollout
