#pragma once

#include <actions/action_result.h>
#include <actions/claim_nonce.h>
#include <actions/event_kind.h>
#include <actions/owner.h>
#include <actions/submission.h>
#include <actions/unknown_reason.h>

#include <core/attempt_number.h>
#include <core/instant.h>
#include <core/refusal_reason.h>

#include <compare>

namespace ej::actions {

/// One event of an action. `kind` determines which members are used.
struct action_event {
    event_kind kind = event_kind::deadline;
    core::instant at; ///< Time of the event on the monotonic clock.
    submission arrival;
    actions::owner owner;
    claim_nonce nonce;
    core::attempt_number attempt;
    action_result result;
    core::refusal_reason refusal = core::refusal_reason::no_endpoint;
    unknown_reason unknown_cause = unknown_reason::platform_unavailable;

    friend auto operator<=>(const action_event&, const action_event&) = default;
};

} // namespace ej::actions
