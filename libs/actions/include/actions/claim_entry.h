#pragma once

#include <actions/action_id.h>
#include <actions/claim_nonce.h>

#include <compare>
#include <cstdint>

namespace ej::actions {

/// One bound action in a claim bucket.
struct claim_entry {
    action_id action;
    std::uint32_t owner_index = 0; ///< Index into the bucket's owners.
    claim_nonce nonce;

    friend auto operator<=>(const claim_entry&, const claim_entry&) = default;
};

} // namespace ej::actions
