#pragma once

#include <core/instant.h>

#include <compare>

namespace ej::front {

/// Times of a daemon that leaves.
struct shutdown_schedule {
    core::instant
        balancer_stops_by; ///< The balancer sends no new callers from here on, if it has others.
    core::instant end;     ///< The process is gone.

    friend auto operator<=>(const shutdown_schedule&, const shutdown_schedule&) = default;
};

} // namespace ej::front
