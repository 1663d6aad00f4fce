#pragma once

#include <core/endpoint_id.h>

#include <compare>
#include <cstdint>

namespace ej::routing {

/// Load reported by an endpoint. The counts cover the requests of all daemons and may be outdated.
struct load_report {
    core::endpoint_id name;
    std::uint32_t slots = 1;      ///< Requests that it runs at once; >= 1.
    std::uint32_t running = 0;    ///< Requests running.
    std::uint32_t waiting = 0;    ///< Requests waiting for a slot.
    double tokens_per_second = 0; ///< Speed of one slot; 0 if unknown.

    friend auto operator<=>(const load_report&, const load_report&) = default;
};

} // namespace ej::routing
