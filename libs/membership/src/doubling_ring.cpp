#include <membership/doubling_ring.h>

#include <algorithm>

namespace ej::membership {

std::vector<core::vm_id> doubling_ring::choose(const core::vm_id& self,
                                               const std::vector<core::vm_id>& members) const
{
    const auto own = std::ranges::lower_bound(members, self);
    const auto place = static_cast<std::size_t>(own - members.begin());
    std::vector<core::vm_id> chosen;
    for (std::size_t step = 1; step < members.size(); step *= 2) {
        chosen.push_back(members[(place + step) % members.size()]);
    }
    return chosen;
}

} // namespace ej::membership
