#include <limits/shares.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace ej::limits {

namespace {

// Keeps a boundary that falls on a whole slot from being rounded below it.
constexpr double rounding_guard = 1e-9;

// A different offset per endpoint spreads the remainders of the division over the daemons. Steps of
// the golden ratio cover the interval evenly, so that each daemon soon gets a remainder.
double rounding_offset(const core::endpoint_id& name, std::uint64_t turn)
{
    constexpr std::size_t steps = 1'024;
    constexpr double golden_ratio = 0.6180339887498949;
    const auto start = static_cast<double>(std::hash<core::endpoint_id>{}(name) % steps) / steps;
    const double shift = start + static_cast<double>(turn % steps) * golden_ratio;
    return shift - std::floor(shift);
}

double sum_of_sizes(std::span<const member_size> members)
{
    return std::transform_reduce(members.begin(), members.end(), 0.0, std::plus{},
                                 [](const member_size& member) { return member.size; });
}

} // namespace

daemon_share share_of(std::span<const member_size> members, const core::vm_id& self)
{
    std::vector<member_size> ordered(members.begin(), members.end());
    if (std::ranges::find(ordered, self, &member_size::vm) == ordered.end()) {
        ordered.push_back({self, 1.0});
    }
    std::ranges::sort(ordered, {}, &member_size::vm);
    const auto own = std::ranges::find(ordered, self, &member_size::vm);
    const double total = sum_of_sizes(ordered);
    return {sum_of_sizes({ordered.begin(), own}) / total, own->size / total};
}

std::uint32_t whole_slots(std::uint32_t slots, const daemon_share& share,
                          const core::endpoint_id& name)
{
    return whole_slots_in_turn(slots, share, name, 0);
}

std::uint32_t whole_slots_in_turn(std::uint32_t slots, const daemon_share& share,
                                  const core::endpoint_id& name, std::uint64_t turn)
{
    // Rounding the boundaries instead of the shares makes the results add up to `slots`.
    const double shift = rounding_offset(name, turn) + rounding_guard;
    const double first = std::floor(slots * share.before + shift);
    const double last = std::floor(slots * (share.before + share.fraction) + shift);
    return static_cast<std::uint32_t>(last - first);
}

} // namespace ej::limits
