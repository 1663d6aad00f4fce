#include "fault.h"

#include "soak_fleet.h"

#include <algorithm>
#include <random>

namespace ej::soak {

namespace {

constexpr std::uint64_t longest_pause_ms = 500;
constexpr std::uint64_t shortest_fault_ms = 100;
constexpr std::uint64_t longest_fault_ms = 2'000;

} // namespace

std::vector<fault> make_plan(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t count) { return random() % count; };
    std::vector<fault> plan;
    for (std::chrono::milliseconds at{0}; at < length;
         at += std::chrono::milliseconds(draw(longest_pause_ms))) {
        fault made;
        made.at = at;
        made.length = std::chrono::milliseconds(shortest_fault_ms +
                                                draw(longest_fault_ms - shortest_fault_ms));
        made.kind = static_cast<fault_kind>(draw(fault_kind_count));
        made.target = draw(soak_fleet::daemon_count * soak_fleet::endpoint_count);
        plan.push_back(made);
    }
    return plan;
}

} // namespace ej::soak
