#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::routing {

/// Capacity of a pool for this daemon.
struct pool_summary {
    double work_per_second = 0; ///< Tokens per second over all slots within this daemon's limits.
    double slot_rate = 0;       ///< Rate-weighted mean of the slots' tokens per second.
    std::uint32_t slots = 0;    ///< Slots within the limits, without ejected endpoints.
    std::uint32_t open = 0;     ///< Endpoints with free capacity.
    std::uint32_t urgent_open = 0; ///< Endpoints with free capacity for urgent requests.
    core::instant next_unblock{
        core::instant::max()}; ///< When the next ejected endpoint may be tried again.

    friend auto operator<=>(const pool_summary&, const pool_summary&) = default;
};

} // namespace ej::routing
