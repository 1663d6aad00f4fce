#pragma once

#include <retry/lost_attempt.h>

#include <core/instant.h>
#include <core/work_kind.h>

#include <compare>

namespace ej::retry {

/// Input of a retry decision.
struct retry_request {
    core::work_kind kind = core::work_kind::idempotent;
    lost_attempt lost;
    double work = 1;               ///< Expected tokens of the complete response, or 1; > 0.
    core::instant finish_by{};     ///< The request's deadline, the same for all attempts.
    core::duration service_time{}; ///< Expected time of another attempt.

    friend auto operator<=>(const retry_request&, const retry_request&) = default;
};

} // namespace ej::retry
