#pragma once

#include <fairness/backlog.h>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::admission {

/// What a decision on admission depends on besides the request.
struct queue_state {
    fairness::backlog all;         ///< Requests that wait.
    fairness::backlog own;         ///< Those of the request's workspace.
    std::size_t workspaces = 0;    ///< Workspaces with requests that wait, its own included.
    std::uint32_t max_waiting = 1; ///< By the class's target.
    double served_per_second = 0;  ///< Work that leaves the queue; 0: not known.
    double own_distance = 0;       ///< Fair share of work to be served before the request's turn.
    double share_per_second = 0;   ///< Fair share of work served to each; 0: not known.

    friend auto operator<=>(const queue_state&, const queue_state&) = default;
};

} // namespace ej::admission
