#pragma once

#include <actions/claim_entry.h>
#include <actions/owner.h>
#include <actions/wall_time.h>

#include <core/instant.h>

#include <compare>
#include <vector>

namespace ej::actions {

/// The claims that share one value in the platform's store.
struct claim_bucket {
    wall_time clock;                  ///< Latest time known to any writer; never goes back.
    std::vector<owner> owners;        ///< Each once, in order.
    std::vector<claim_entry> entries; ///< One an action, in order of actions.

    friend auto operator<=>(const claim_bucket&, const claim_bucket&) = default;
};

/// The entry of `action`, or null.
[[nodiscard]] const claim_entry* find_entry(const claim_bucket& bucket, const action_id& action);

/// Since when each entry of a bucket has been known to one daemon, on its monotonic clock.
using first_seen_times = std::vector<core::instant>;

/// The sightings of `next` at `now`, by a daemon that has seen `bucket` since `first_seen`.
[[nodiscard]] first_seen_times carry_over_first_seen(const claim_bucket& bucket,
                                                     const first_seen_times& first_seen,
                                                     const claim_bucket& next, core::instant now);

/// `bucket` without the entries that have been seen since `oldest` or longer, and without owners
/// that have no entry left.
[[nodiscard]] claim_bucket pruned(const claim_bucket& bucket, const first_seen_times& first_seen,
                                  core::instant oldest);

} // namespace ej::actions
