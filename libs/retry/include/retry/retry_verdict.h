#pragma once

namespace ej::retry {

/// Whether a request is retried, and if not, why.
enum class retry_verdict {
    retry,
    out_of_budget,   ///< Failed; the class's retry budget is exhausted.
    past_deadline,   ///< Failed; a retry would end after the deadline.
    outcome_unknown, ///< The request may have run and must not run twice.
};

} // namespace ej::retry
