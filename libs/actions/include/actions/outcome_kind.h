#pragma once

namespace ej::actions {

/// Outcomes of a submission.
enum class outcome_kind {
    ran,     ///< Ran once; the result is included while it is retained.
    not_run, ///< Final: did not run and never will.
    unknown  ///< May have run; sending the same key again never runs it twice.
};

} // namespace ej::actions
