#pragma once

#include <core/instant.h>

#include <compare>

namespace ej::front {

/// Timeline of a daemon's shutdown.
struct shutdown_schedule {
    core::instant balancer_stops_by; ///< New callers go to other daemons, if any.
    core::instant end;               ///< The process ends.

    friend auto operator<=>(const shutdown_schedule&, const shutdown_schedule&) = default;
};

} // namespace ej::front
