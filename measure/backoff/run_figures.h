#pragma once

#include <vector>

namespace ej::measure {

/// Result of runs of one history.
struct run_figures {
    double asked = 0;
    double served = 0;
    double refused = 0;     ///< Refusals sent to callers, including those that came back.
    double turned_away = 0; ///< Requests that endpoints refused.
    double inside = 0;      ///< Arrivals in a requested backoff, those in flight at its begin too.
    double late_inside = 0; ///< The same, over half a second after the answer.
    double idle = 0;        ///< Share of slot time from 5 s to 15 s.
    std::vector<double> waits_ms; ///< From a caller's first attempt to the begin of its answer.
};

} // namespace ej::measure
