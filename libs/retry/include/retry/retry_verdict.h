#pragma once

namespace ej::retry {

/// Whether a request is tried again, and if not, what the caller is told.
enum class retry_verdict {
    retry,
    out_of_budget,   ///< Failed; the class's extra work is used up.
    past_deadline,   ///< Failed; another attempt would end too late.
    outcome_unknown, ///< It may have run and may not run twice.
};

} // namespace ej::retry
