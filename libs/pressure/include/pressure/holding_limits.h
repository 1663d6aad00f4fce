#pragma once

#include <compare>
#include <cstddef>

namespace ej::pressure {

/// Limits for connections together.
struct holding_limits {
    std::size_t connections = 0; ///< Most connections; > 0.
    std::size_t bytes = 0;       ///< Most bytes that they hold; > 0.
    /// No connection that holds up to this many bytes is closed for its memory, so that large
    /// requests do not displace small ones.
    std::size_t small_bytes = 0;

    friend auto operator<=>(const holding_limits&, const holding_limits&) = default;
};

} // namespace ej::pressure
