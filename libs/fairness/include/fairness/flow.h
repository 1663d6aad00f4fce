#pragma once

#include <fairness/claim.h>
#include <fairness/flow_usage.h>

#include <cstdint>
#include <map>

namespace ej::fairness {

/// The waiting requests of one workspace, oldest first, and its past usage.
struct flow {
    flow_usage usage;
    double work = 0; ///< Total work of the waiting requests.
    double rank = 0; ///< Sort key among the workspaces; valid while a request waits.
    std::map<std::int64_t, claim> waiting{}; ///< By sequence number.
};

} // namespace ej::fairness
