#pragma once

#include <forwarding/endpoint_stats.h>

#include <core/endpoint.h>

namespace ej::forwarding {

/// An endpoint that may be chosen, with a snapshot of its load and health.
struct candidate {
    core::endpoint what;
    endpoint_stats stats;
    bool local = false; ///< In the daemon's own failure domain.
};

} // namespace ej::forwarding
