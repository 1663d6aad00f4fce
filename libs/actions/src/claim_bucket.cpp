#include <actions/claim_bucket.h>

#include <algorithm>
#include <cstddef>
#include <limits>

namespace ej::actions {

namespace {

constexpr std::uint32_t unused_owner = std::numeric_limits<std::uint32_t>::max();

// Copies the owners that entries refer to, in order, and updates the entries' owner indexes.
void keep_used_owners(const std::vector<owner>& owners, claim_bucket& bucket)
{
    std::vector<std::uint32_t> new_index(owners.size(), unused_owner);
    for (const claim_entry& entry : bucket.entries) {
        new_index.at(entry.owner_index) = 0;
    }
    for (std::size_t index = 0; index < owners.size(); ++index) {
        if (new_index[index] != unused_owner) {
            new_index[index] = static_cast<std::uint32_t>(bucket.owners.size());
            bucket.owners.push_back(owners[index]);
        }
    }
    for (claim_entry& entry : bucket.entries) {
        entry.owner_index = new_index[entry.owner_index];
    }
}

bool same_claim(const claim_bucket& bucket, const claim_entry& entry,
                const claim_bucket& other_bucket, const claim_entry& other)
{
    return entry.action == other.action && entry.nonce == other.nonce &&
           bucket.owners.at(entry.owner_index) == other_bucket.owners.at(other.owner_index);
}

} // namespace

const claim_entry* find_entry(const claim_bucket& bucket, const action_id& action)
{
    const auto found = std::ranges::lower_bound(bucket.entries, action, {}, &claim_entry::action);
    return found != bucket.entries.end() && found->action == action ? &*found : nullptr;
}

first_seen_times carry_over_first_seen(const claim_bucket& bucket,
                                       const first_seen_times& first_seen, const claim_bucket& next,
                                       core::instant now)
{
    first_seen_times result;
    auto old = bucket.entries.begin();
    for (const claim_entry& entry : next.entries) {
        old = std::find_if(old, bucket.entries.end(), [&](const claim_entry& candidate) {
            return candidate.action >= entry.action;
        });
        const bool known = old != bucket.entries.end() && same_claim(bucket, *old, next, entry);
        result.push_back(
            known ? first_seen.at(static_cast<std::size_t>(old - bucket.entries.begin())) : now);
    }
    return result;
}

claim_bucket pruned(const claim_bucket& bucket, const first_seen_times& first_seen,
                    core::instant oldest)
{
    claim_bucket next;
    next.clock = bucket.clock;
    for (std::size_t index = 0; index < bucket.entries.size(); ++index) {
        if (first_seen.at(index) > oldest) {
            next.entries.push_back(bucket.entries[index]);
        }
    }
    keep_used_owners(bucket.owners, next);
    return next;
}

} // namespace ej::actions
