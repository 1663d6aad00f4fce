#pragma once

#include <chrono>
#include <compare>
#include <cstddef>

namespace ej::forwarding {

/// Size limits and timeouts for callers' requests.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = std::size_t{4} << 20;
    std::chrono::milliseconds header_timeout{3'000}; ///< From the first byte to the header's end.
    std::chrono::milliseconds idle_timeout{15'000};  ///< Between two requests on one connection.

    friend auto operator<=>(const caller_limits&, const caller_limits&) = default;
};

} // namespace ej::forwarding
