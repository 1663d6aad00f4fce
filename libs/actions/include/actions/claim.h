#pragma once

#include <actions/action_id.h>
#include <actions/claim_nonce.h>
#include <actions/owner.h>
#include <actions/wall_time.h>

#include <compare>

namespace ej::actions {

/// Request to bind an action to one daemon incarnation.
struct claim {
    action_id action;
    owner claimant;
    claim_nonce nonce;
    wall_time arrived; ///< Earliest time at which the submission can have arrived at the claimant.

    friend auto operator<=>(const claim&, const claim&) = default;
};

} // namespace ej::actions
