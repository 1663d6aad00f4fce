#pragma once

#include <pressure/holding_limits.h>

#include <cstddef>

namespace ej::pressure {

/// Limits for one of `parts` groups of connections that have `memory` bytes and `connections`
/// together. The largest single request, of `largest` bytes, always fits.
[[nodiscard]] holding_limits share_of_memory(std::size_t memory, std::size_t connections,
                                             std::size_t parts, std::size_t largest);

} // namespace ej::pressure
