#include <membership/full_mesh.h>

#include <algorithm>
#include <iterator>

namespace ej::membership {

std::vector<core::vm_id> full_mesh::choose(const core::vm_id& self,
                                           const std::vector<core::vm_id>& members) const
{
    std::vector<core::vm_id> others;
    std::ranges::copy_if(members, std::back_inserter(others),
                         [&](const core::vm_id& member) { return member != self; });
    return others;
}

} // namespace ej::membership
