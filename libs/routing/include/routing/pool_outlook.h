#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::routing {

/// What a pool can do for this daemon, kept up to date with each event.
struct pool_outlook {
    double work_per_second = 0;    ///< Tokens per second over all slots within the limits.
    double slot_rate = 0;          ///< Mean tokens per second of a slot, weighted by its work.
    std::uint32_t slots = 0;       ///< Slots within the limits of endpoints that take work.
    std::uint32_t open = 0;        ///< Endpoints with room.
    std::uint32_t urgent_open = 0; ///< Endpoints with room for urgent requests.
    core::instant next_unblock{
        core::instant::max()}; ///< When a failing endpoint may be tried again.

    friend auto operator<=>(const pool_outlook&, const pool_outlook&) = default;
};

} // namespace ej::routing
