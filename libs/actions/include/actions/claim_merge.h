#pragma once

#include <actions/claim.h>
#include <actions/claim_bucket.h>
#include <actions/claim_limits.h>
#include <actions/claim_verdict.h>

#include <compare>
#include <vector>

namespace ej::actions {

/// A bucket with new claims in it.
struct claim_merge {
    claim_bucket next;                   ///< The value to write.
    std::vector<claim> added;            ///< Bound once `next` is written.
    std::vector<claim_verdict> verdicts; ///< Settled by what already stands in the bucket.

    friend auto operator<=>(const claim_merge&, const claim_merge&) = default;
};

/// Adds `claims` to `bucket`, whose clock has been brought up to date.
[[nodiscard]] claim_merge merge(const claim_bucket& bucket, const std::vector<claim>& claims,
                                const claim_limits& limits);

} // namespace ej::actions
