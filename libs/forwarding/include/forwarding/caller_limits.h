#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

namespace ej::forwarding {

/// Bounds on what callers may send and how long they may take.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = std::size_t{4} << 20;
    std::chrono::milliseconds header_timeout{3'000}; ///< From a request's first byte to its header.
    std::chrono::milliseconds idle_timeout{15'000};  ///< Between two requests of a connection.

    friend auto operator<=>(const caller_limits&, const caller_limits&) = default;
};

} // namespace ej::forwarding
