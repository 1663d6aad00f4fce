#include <overload/copy_gate.h>

#include <overload/engine_forecast.h>

#include <algorithm>
#include <numeric>

namespace ej::overload {

namespace {

// Parts of the engines' memory that generations and copies hold. A copy doubles what its generation
// holds, so that copies are dropped long before the memory is full; the gap keeps the gate from
// changing with each generation.
constexpr double close_above = 0.8;
constexpr double open_below = 0.65;
// Copies at one engine leave the rest to generations.
constexpr double copy_memory = 0.85;

} // namespace

bool copy_gate::admits(std::span<const forwarding::candidate> engines,
                       const forwarding::engine_profile& profile)
{
    if (profile.memory_tokens == 0 || engines.empty()) {
        return true;
    }
    const double held = std::transform_reduce(
        engines.begin(), engines.end(), 0.0, std::plus<>(), [](const forwarding::candidate& one) {
            return double(one.stats.tokens_held) + double(one.stats.others_tokens_held);
        });
    const double part = held / (double(engines.size()) * double(profile.memory_tokens));
    held_part_ = part;
    if (part > close_above) {
        open_ = false;
    }
    else if (part < open_below) {
        open_ = true;
    }
    return open_;
}

bool copy_gate::has_room(const forwarding::candidate& engine, std::uint64_t memory,
                         const forwarding::engine_profile& profile)
{
    return has_memory(engine.stats, memory, profile, copy_memory);
}

} // namespace ej::overload
