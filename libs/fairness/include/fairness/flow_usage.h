#pragma once

#include <compare>

namespace ej::fairness {

/// What a workspace has had of a queue's service.
struct flow_usage {
    double start_tag = 0; ///< Virtual time at which its next request starts, in work.
    double lateness = 0;  ///< Smoothed time taken in parts of the target; 1 is just on time.

    friend auto operator<=>(const flow_usage&, const flow_usage&) = default;
};

} // namespace ej::fairness
