#pragma once

namespace ej::actions {

/// How the key of a submission is bound to a daemon.
enum class action_origin {
    ticket,         ///< This incarnation issued the key.
    claim,          ///< The caller chose the key; a claim binds it.
    forwarded_claim ///< A peer read from the store that this incarnation owns the key.
};

} // namespace ej::actions
