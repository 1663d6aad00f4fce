#include <limits/equal_share.h>

#include <limits/shares.h>

namespace ej::limits {

std::uint32_t equal_share::next(std::uint32_t, const endpoint_load& load,
                                const daemon_share& share) const
{
    return whole_slots(load.slots, share, load.name);
}

} // namespace ej::limits
