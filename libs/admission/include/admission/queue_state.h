#pragma once

#include <fairness/backlog.h>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::admission {

/// State of the queue that an admission decision depends on.
struct queue_state {
    fairness::backlog all;         ///< Waiting requests.
    fairness::backlog own;         ///< Waiting requests of the request's workspace.
    std::size_t workspaces = 0;    ///< Workspaces with waiting requests, and the request's own.
    std::uint32_t max_waiting = 1; ///< Limit of waiting requests, from the class's target.
    double served_per_second = 0;  ///< Work per second that leaves the queue; 0: not known.
    double own_distance = 0;       ///< Work each workspace is served before the request's turn.
    double share_per_second = 0;   ///< Work per second served to each workspace; 0: not known.

    friend auto operator<=>(const queue_state&, const queue_state&) = default;
};

} // namespace ej::admission
