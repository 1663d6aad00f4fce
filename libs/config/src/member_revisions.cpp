#include <config/member_revisions.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::config {

void member_revisions::replace(const std::vector<member>& members)
{
    std::map<core::vm_id, member_revision> next;
    for (const member& one : members) {
        const auto known = members_.find(one.vm);
        const bool stays = known != members_.end();
        next[one.vm] = {one, stays ? known->second.in_force : core::revision()};
    }
    members_ = std::move(next);
}

void member_revisions::record(const core::vm_id& vm, core::revision revision)
{
    const auto known = members_.find(vm);
    if (known != members_.end()) {
        known->second.in_force = revision;
    }
}

std::vector<member_revision> member_revisions::list() const
{
    std::vector<member_revision> all;
    std::ranges::transform(members_, std::back_inserter(all),
                           [](const auto& entry) { return entry.second; });
    return all;
}

} // namespace ej::config
