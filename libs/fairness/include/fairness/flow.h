#pragma once

#include <fairness/flow_usage.h>
#include <fairness/queued_request.h>

#include <cstdint>
#include <map>

namespace ej::fairness {

/// The waiting requests of one workspace, oldest first, and its past usage.
struct flow {
    flow_usage usage;
    double work = 0; ///< Total work of the waiting requests.
    double rank = 0; ///< Sort key among the workspaces; valid while a request waits.
    std::map<std::int64_t, queued_request> waiting{}; ///< By sequence number.
};

} // namespace ej::fairness
