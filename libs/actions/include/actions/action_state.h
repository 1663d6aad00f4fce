#pragma once

#include <actions/action_outcome.h>
#include <actions/action_phase.h>
#include <actions/claim_nonce.h>
#include <actions/owner.h>
#include <actions/submission.h>

#include <core/attempt_number.h>
#include <core/instant.h>

#include <compare>
#include <optional>
#include <vector>

namespace ej::actions {

/// Record of one action at one daemon incarnation.
struct action_state {
    action_phase phase = action_phase::fresh;
    std::optional<request_digest> digest; ///< Of the request to run; set once the key is owned.
    core::instant deadline;               ///< Latest deadline of the waiting submissions.
    core::instant keep_until;             ///< From then on a final record may be dropped.
    claim_nonce nonce;                    ///< Of the owner's claim; the same in every retry.
    waiter_id source;                     ///< The submission whose request is sent.
    core::attempt_number attempt;         ///< The current attempt.
    std::vector<submission> waiting;      ///< In order of arrival.
    actions::owner owner;                 ///< For `foreign`.
    action_outcome outcome;               ///< For `ran`, `refused`, `unknown`.

    friend auto operator<=>(const action_state&, const action_state&) = default;
};

} // namespace ej::actions
