#include <overload/engine_forecast.h>

#include <forwarding/first_output_delay.h>
#include <forwarding/requests_at.h>

#include <chrono>

namespace ej::overload {

bool has_memory(const forwarding::endpoint_stats& known, std::uint64_t memory,
                const forwarding::engine_profile& profile, double fill)
{
    if (profile.memory_tokens == 0) {
        return true;
    }
    const double held = double(known.tokens_held) + double(known.others_tokens_held);
    const double usable = fill * double(profile.memory_tokens);
    // A generation larger than the usable part fits an empty engine.
    return held + double(memory) <= usable || held == 0;
}

engine_forecast forecast(const forwarding::candidate& engine, const generation_demand& demand,
                         std::uint64_t memory, const forwarding::engine_profile& profile,
                         const service_usage& usage, core::instant now)
{
    const auto& known = engine.stats;
    const auto nominal = forwarding::first_output_delay(engine, demand.size, now);
    const auto ratio = std::chrono::duration<double, std::milli>(nominal) * usage.read_ratio;
    return {std::chrono::duration_cast<core::duration>(ratio),
            has_memory(known, memory, profile, usable_memory) &&
                forwarding::requests_at(known, now) < double(profile.slots),
            known.tokens_unread + known.others_tokens_unread == 0};
}

} // namespace ej::overload
