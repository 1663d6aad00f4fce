#pragma once

namespace ej::actions {

/// What binds a submission's key to a daemon.
enum class action_origin {
    ticket,         ///< This incarnation issued the key.
    claim,          ///< The caller chose the key; a claim binds it.
    forwarded_claim ///< A peer found the key bound to this incarnation.
};

} // namespace ej::actions
