#pragma once

#include <compare>

namespace ej::fairness {

/// A workspace's past usage of a queue.
struct flow_usage {
    double start_tag = 0; ///< Virtual time at which its next request starts, in work.
    double lateness = 0;  ///< Moving average of time taken relative to the target; 1: on time.

    friend auto operator<=>(const flow_usage&, const flow_usage&) = default;
};

} // namespace ej::fairness
