#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::forwarding {

/// Number of sends from several daemons to one service within the retry budget's window.
struct budget_total {
    std::uint64_t first_sends = 0;   ///< First sends of requests.
    std::uint64_t further_sends = 0; ///< Sends beyond the first.
    std::size_t daemons = 0;         ///< Daemons whose last message has not expired.

    friend auto operator<=>(const budget_total&, const budget_total&) = default;
};

} // namespace ej::forwarding
