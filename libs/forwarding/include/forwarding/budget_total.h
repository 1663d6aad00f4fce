#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::forwarding {

/// Requests of several daemons for one service: sends within the retry budget's window, and those
/// that wait.
struct budget_total {
    std::uint64_t first_sends = 0;   ///< First sends of requests.
    std::uint64_t further_sends = 0; ///< Sends beyond the first.
    std::uint64_t waiting = 0;       ///< Generations that wait at the daemons for a place.
    std::size_t daemons = 0;         ///< Daemons whose last message has not expired.

    friend auto operator<=>(const budget_total&, const budget_total&) = default;
};

} // namespace ej::forwarding
