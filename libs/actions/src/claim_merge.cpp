#include <actions/claim_merge.h>

#include <algorithm>
#include <cstdint>

namespace ej::actions {

namespace {

// The first submission of the key may have been claimed up to `longest_retry` before this one
// arrived. If the claimant was paused between arrival and claim, that earlier claim may already
// have been pruned, so its absence proves nothing. Each of the two clocks may be off by
// `clock_skew`.
bool too_late(const claim& wanted, const claim_bucket& bucket, const claim_limits& limits)
{
    const auto max_age = limits.retention - limits.longest_retry - 2 * limits.clock_skew;
    return bucket.clock >= wanted.arrived + max_age;
}

claim_verdict verdict_of_existing(const claim& wanted, const claim_entry& entry,
                                  const claim_bucket& bucket)
{
    const owner& current_owner = bucket.owners.at(entry.owner_index);
    if (current_owner.incarnation != wanted.claimant.incarnation) {
        return {verdict_kind::conflict, wanted, current_owner, entry.nonce};
    }
    const bool same_claim = entry.nonce == wanted.nonce;
    return {same_claim ? verdict_kind::bound : verdict_kind::stale, wanted, {}, {}};
}

std::uint32_t owner_index(claim_bucket& bucket, const owner& claimant)
{
    const auto found = std::ranges::find(bucket.owners, claimant);
    const auto index = found - bucket.owners.begin();
    if (found == bucket.owners.end()) {
        bucket.owners.push_back(claimant);
    }
    return static_cast<std::uint32_t>(index);
}

void insert(claim_bucket& bucket, const claim& wanted)
{
    const claim_entry entry{wanted.action, owner_index(bucket, wanted.claimant), wanted.nonce};
    const auto position =
        std::ranges::lower_bound(bucket.entries, wanted.action, {}, &claim_entry::action);
    bucket.entries.insert(position, entry);
}

} // namespace

claim_merge merge(const claim_bucket& bucket, const std::vector<claim>& claims,
                  const claim_limits& limits)
{
    claim_merge merged{bucket, {}, {}};
    for (const claim& wanted : claims) {
        if (const auto* entry = find_entry(merged.next, wanted.action)) {
            merged.verdicts.push_back(verdict_of_existing(wanted, *entry, merged.next));
        }
        else if (too_late(wanted, merged.next, limits) ||
                 merged.next.entries.size() >= limits.max_entries) {
            merged.verdicts.push_back({verdict_kind::failed, wanted, {}, {}});
        }
        else {
            insert(merged.next, wanted);
            merged.added.push_back(wanted);
        }
    }
    return merged;
}

} // namespace ej::actions
