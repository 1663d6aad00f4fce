#pragma once

#include <actions/action_origin.h>
#include <actions/claim_nonce.h>
#include <actions/request_digest.h>
#include <actions/waiter_id.h>

#include <core/instant.h>

#include <compare>

namespace ej::actions {

/// One arrival of a request at one daemon.
struct submission {
    waiter_id waiter;
    action_origin origin = action_origin::ticket;
    request_digest digest;
    core::instant deadline;   ///< Nothing is sent at or after it.
    core::instant keep_until; ///< End of the key's life; a submission after it is not run.
    claim_nonce nonce;        ///< For a forwarded claim: the nonce found in the store.
    bool draining = false;    ///< The daemon takes no new work.

    friend auto operator<=>(const submission&, const submission&) = default;
};

} // namespace ej::actions
