#pragma once

#include <actions/claim_entry.h>
#include <actions/owner.h>
#include <actions/wall_time.h>

#include <compare>
#include <vector>

namespace ej::actions {

/// The claims that share one value in the platform's store.
struct claim_bucket {
    wall_time clock;                  ///< Latest time of any writer; never goes back.
    std::vector<owner> owners;        ///< Each once, in order.
    std::vector<claim_entry> entries; ///< One an action, in order of actions.

    friend auto operator<=>(const claim_bucket&, const claim_bucket&) = default;
};

/// The entry of `action`, or null.
[[nodiscard]] const claim_entry* find_entry(const claim_bucket& bucket, const action_id& action);

/// `bucket` at `now`: entries that have expired and owners without entries are gone.
[[nodiscard]] claim_bucket pruned(const claim_bucket& bucket, wall_time now);

} // namespace ej::actions
