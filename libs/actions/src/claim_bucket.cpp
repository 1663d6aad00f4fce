#include <actions/claim_bucket.h>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <limits>

namespace ej::actions {

namespace {

constexpr std::uint32_t unused = std::numeric_limits<std::uint32_t>::max();

// Copies the owners that entries name, in their order, and renumbers the entries.
void keep_used_owners(const std::vector<owner>& owners, claim_bucket& bucket)
{
    std::vector<std::uint32_t> place(owners.size(), unused);
    for (const claim_entry& entry : bucket.entries) {
        place.at(entry.owner_index) = 0;
    }
    for (std::size_t index = 0; index < owners.size(); ++index) {
        if (place[index] != unused) {
            place[index] = static_cast<std::uint32_t>(bucket.owners.size());
            bucket.owners.push_back(owners[index]);
        }
    }
    for (claim_entry& entry : bucket.entries) {
        entry.owner_index = place[entry.owner_index];
    }
}

} // namespace

const claim_entry* find_entry(const claim_bucket& bucket, const action_id& action)
{
    const auto found = std::ranges::lower_bound(bucket.entries, action, {}, &claim_entry::action);
    return found != bucket.entries.end() && found->action == action ? &*found : nullptr;
}

claim_bucket pruned(const claim_bucket& bucket, wall_time now)
{
    claim_bucket next;
    next.clock = std::max(bucket.clock, now);
    std::ranges::copy_if(bucket.entries, std::back_inserter(next.entries),
                         [&](const claim_entry& entry) { return entry.expires > next.clock; });
    keep_used_owners(bucket.owners, next);
    return next;
}

} // namespace ej::actions
