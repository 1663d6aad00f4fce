#include <limits/aimd_limit.h>

#include <algorithm>

namespace ej::limits {

std::uint32_t aimd_limit::next(std::uint32_t current, const endpoint_load& load,
                               const daemon_share&) const
{
    constexpr std::uint32_t cut_divisor = 3;
    if (load.waiting > 0) {
        return std::max(current - current / cut_divisor, 1U);
    }
    const std::uint32_t probed = load.own >= current ? current + 1 : current;
    return std::clamp(probed, 1U, load.slots);
}

} // namespace ej::limits
