#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ej::measure {

/// Result of a run of `generation_fleet`.
struct generation_figures {
    /// Callers that arrived within two seconds.
    struct window {
        double asked = 0;
        double on_time = 0;
    };

    double asked = 0;   ///< Callers that did not leave early.
    double on_time = 0; ///< First output within the target, no long pause, complete.
    double late = 0;    ///< Complete otherwise.
    double refused = 0; ///< Not served after coming back.
    double refusals = 0;
    double failed = 0;       ///< Deadline passed.
    double read_in_vain = 0; ///< Prompt tokens, in thousands.
    std::size_t sends = 0;
    std::vector<window> windows;
    std::vector<double> forecast_errors; ///< Measured first output relative to the forecast.

    [[nodiscard]] double share(double count) const { return asked > 0 ? count / asked : 0; }
};

} // namespace ej::measure
