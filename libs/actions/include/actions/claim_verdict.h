#pragma once

#include <actions/claim.h>
#include <actions/verdict_kind.h>

#include <compare>

namespace ej::actions {

/// Final result of a claim.
struct claim_verdict {
    verdict_kind kind = verdict_kind::failed;
    actions::claim claim;
    actions::owner owner; ///< For `conflict`.
    claim_nonce nonce;    ///< For `conflict`: of the owner's claim.

    friend auto operator<=>(const claim_verdict&, const claim_verdict&) = default;
};

} // namespace ej::actions
