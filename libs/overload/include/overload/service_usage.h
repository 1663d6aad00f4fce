#pragma once

#include <core/instant.h>

#include <compare>

namespace ej::overload {

/// How the generations of one service have used their engines; moving averages.
struct service_usage {
    double output_share = 1; ///< Output produced relative to the declared bound; (0, 1].
    double read_ratio = 1;   ///< Measured time to the first output relative to the forecast; > 0.
    core::duration
        token_time{};          ///< Between output tokens of a stream, pauses included; 0: unknown.
    core::duration run_time{}; ///< From the send to the end of a complete stream; 0: unknown.
    core::duration run_deviation{}; ///< Mean deviation from `run_time`.

    friend auto operator<=>(const service_usage&, const service_usage&) = default;
};

} // namespace ej::overload
