#pragma once

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// Load reported by an endpoint; covers the requests of all daemons.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1; ///< >= 1.

    friend auto operator<=>(const load_report&, const load_report&) = default;
};

} // namespace ej::forwarding
