#pragma once

namespace ej::actions {

/// What a submission is told.
enum class outcome_kind {
    ran,     ///< Ran once; the result is attached while it is kept.
    not_run, ///< Final: did not run and never will.
    unknown  ///< May have run; sending the same key again never runs it twice.
};

} // namespace ej::actions
