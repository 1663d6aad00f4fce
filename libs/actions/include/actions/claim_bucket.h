#pragma once

#include <actions/claim_entry.h>
#include <actions/owner.h>
#include <actions/wall_time.h>

#include <core/instant.h>

#include <compare>
#include <vector>

namespace ej::actions {

/// Claims that are stored in one value of the platform's store.
struct claim_bucket {
    wall_time clock;                  ///< Latest time known to any writer; never decreases.
    std::vector<owner> owners;        ///< Without duplicates, in order of insertion.
    std::vector<claim_entry> entries; ///< One for each action, sorted by action.

    friend auto operator<=>(const claim_bucket&, const claim_bucket&) = default;
};

/// Returns the entry of `action`, or null.
[[nodiscard]] const claim_entry* find_entry(const claim_bucket& bucket, const action_id& action);

/// For each entry of a bucket, when one daemon first read or wrote it, on its monotonic clock.
using first_seen_times = std::vector<core::instant>;

/// Returns the first-seen times of the entries of `next`. Entries that are also in `bucket` keep
/// their time from `first_seen`; new ones get `now`.
[[nodiscard]] first_seen_times carry_over_first_seen(const claim_bucket& bucket,
                                                     const first_seen_times& first_seen,
                                                     const claim_bucket& next, core::instant now);

/// Returns `bucket` without the entries first seen at or before `oldest` and without owners that
/// have no entry left.
[[nodiscard]] claim_bucket pruned(const claim_bucket& bucket, const first_seen_times& first_seen,
                                  core::instant oldest);

} // namespace ej::actions
