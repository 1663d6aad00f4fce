#pragma once

#include <fairness/claim.h>
#include <fairness/flow_usage.h>

#include <cstdint>
#include <map>

namespace ej::fairness {

/// The waiting requests of one workspace, oldest first, and what it has had.
struct flow {
    flow_usage usage;
    double work = 0;                         ///< Sum of the waiting requests' work.
    double rank = 0;                         ///< Place among the workspaces while any waits.
    std::map<std::int64_t, claim> waiting{}; ///< By sequence number.
};

} // namespace ej::fairness
