#pragma once

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// An endpoint's own count of its requests, of all daemons together.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1; ///< From 1.

    friend auto operator<=>(const load_report&, const load_report&) = default;
};

} // namespace ej::forwarding
