#pragma once

#include <actions/claim.h>
#include <actions/claim_bucket.h>
#include <actions/claim_limits.h>
#include <actions/claim_verdict.h>

#include <compare>
#include <vector>

namespace ej::actions {

/// Result of adding new claims to a bucket.
struct claim_merge {
    claim_bucket next;        ///< The value to write.
    std::vector<claim> added; ///< Bound once `next` is written.
    /// Decided without a write: a claim exists, the submission is too old or the bucket is full.
    std::vector<claim_verdict> verdicts;

    friend auto operator<=>(const claim_merge&, const claim_merge&) = default;
};

/// Adds `claims` to `bucket`. The bucket's clock must be up to date.
[[nodiscard]] claim_merge merge(const claim_bucket& bucket, const std::vector<claim>& claims,
                                const claim_limits& limits);

} // namespace ej::actions
