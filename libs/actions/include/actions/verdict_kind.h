#pragma once

namespace ej::actions {

/// Results of a claim.
enum class verdict_kind {
    bound,    ///< The claimant owns the action.
    conflict, ///< Another incarnation owns the action.
    stale,    ///< An earlier claim of the same incarnation owns the action.
    failed    ///< Given up; it may have taken effect.
};

} // namespace ej::actions
