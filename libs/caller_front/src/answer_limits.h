#pragma once

#include <cstddef>

namespace ej::front {

/// Limit for the body of a buffered answer; longer ones count as spoiled.
inline constexpr std::size_t max_answer_bytes = std::size_t{16} << 20;

} // namespace ej::front
