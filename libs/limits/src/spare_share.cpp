#include <limits/spare_share.h>

#include <limits/shares.h>

#include <algorithm>

namespace ej::limits {

namespace {

// At least a quarter of the lent slots is returned with each report, so all within a few reports.
constexpr std::uint32_t return_divisor = 4;

std::uint32_t reduced_limit(std::uint32_t current, std::uint32_t guaranteed)
{
    const std::uint32_t lent = current - guaranteed;
    return current - std::max(lent / return_divisor, 1U);
}

} // namespace

std::uint32_t spare_share::next(std::uint32_t current, const endpoint_load& load,
                                const daemon_share& share) const
{
    const std::uint32_t guaranteed = whole_slots(load.slots, share, load.name);
    const std::uint32_t occupied = load.running + load.waiting;
    if (occupied < load.slots) {
        // All daemons see the same idle slots; each takes its share, so that together they use them
        // all.
        const std::uint32_t lent =
            whole_slots_in_turn(load.slots - occupied, share, load.name, load.report);
        return std::clamp(load.own + lent, guaranteed, load.slots);
    }
    if (load.waiting > 0 && current > guaranteed) {
        return reduced_limit(std::min(current, load.slots), guaranteed);
    }
    return std::clamp(current, guaranteed, load.slots);
}

} // namespace ej::limits
