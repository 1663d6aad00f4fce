#pragma once

#include <core/instant.h>

#include <compare>

namespace ej::front {

/// Timeline of a daemon's shutdown.
struct shutdown_schedule {
    /// From this time on the load balancer sends new callers to other daemons, if there are any.
    core::instant balancer_stops_by;
    core::instant calls_end; ///< Calls that are open are ended with their final answers.
    core::instant end;       ///< The process ends.

    friend auto operator<=>(const shutdown_schedule&, const shutdown_schedule&) = default;
};

} // namespace ej::front
