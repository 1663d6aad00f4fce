#include <overload/completion_forecast.h>

#include <overload/engine_forecast.h>

#include <forwarding/nominal_time_per_token.h>

#include <algorithm>
#include <chrono>

namespace ej::overload {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Deviations above the mean run time within which nearly all generations end.
constexpr int deviations = 2;
// The engines may slow down meanwhile: while a daemon leaves, its callers come to the others, and
// load that arrives now takes effect only when its prompts have been read.
constexpr double margin = 1.25;
// Bounds the forecast of an output whose declared size cannot be true.
constexpr milliseconds longest_output{3'600'000};

milliseconds output_time(const forwarding::candidate& engine, const generation_demand& demand,
                         const service_usage& usage)
{
    const auto per_token = std::max<milliseconds>(
        forwarding::nominal_time_per_token * engine.stats.slowness, milliseconds(usage.token_time));
    return std::min(margin * usage.output_share * double(demand.size.output_tokens) * per_token,
                    longest_output);
}

} // namespace

core::duration completion_time(const forwarding::candidate& engine, const generation_demand& demand,
                               const forwarding::engine_profile& profile,
                               const service_usage& usage, core::instant now)
{
    const auto first = forecast(engine, demand, 0, profile, usage, now).first_output;
    const auto output =
        std::chrono::duration_cast<core::duration>(output_time(engine, demand, usage));
    return std::max(first + output, usage.run_time + deviations * usage.run_deviation);
}

} // namespace ej::overload
