#pragma once

#include <actions/action_origin.h>
#include <actions/claim_nonce.h>
#include <actions/request_digest.h>
#include <actions/waiter_id.h>

#include <core/instant.h>

#include <compare>

namespace ej::actions {

/// One request as received by one daemon.
struct submission {
    waiter_id waiter;
    action_origin origin = action_origin::ticket;
    request_digest digest;
    core::instant deadline;   ///< The request is not sent at or after this time.
    core::instant keep_until; ///< Expiry of the key; a later submission is not run.
    claim_nonce nonce;        ///< For a forwarded claim: the nonce read from the store.
    bool draining = false;    ///< The daemon accepts no new work.

    friend auto operator<=>(const submission&, const submission&) = default;
};

} // namespace ej::actions
