#pragma once

#include <actions/action_outcome.h>
#include <actions/claim_nonce.h>
#include <actions/effect_kind.h>
#include <actions/owner.h>
#include <actions/waiter_id.h>

#include <core/attempt_number.h>

#include <compare>

namespace ej::actions {

/// One effect for the daemon to perform. `kind` determines which members are used.
struct action_effect {
    effect_kind kind = effect_kind::answer;
    waiter_id waiter;
    action_outcome outcome;
    actions::owner owner;
    claim_nonce nonce;
    core::attempt_number attempt;

    friend auto operator<=>(const action_effect&, const action_effect&) = default;
};

} // namespace ej::actions
