#include <limits/fixed_limit.h>

namespace ej::limits {

std::uint32_t fixed_limit::next(std::uint32_t, const endpoint_load& load, const daemon_share&) const
{
    return load.slots;
}

} // namespace ej::limits
