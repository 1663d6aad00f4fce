#include <overload/usage_history.h>

#include <algorithm>
#include <chrono>

namespace ej::overload {

namespace {

// Weight of the newest sample. Some twenty streams replace a wrong start.
constexpr double weight = 0.1;
// Bounds of one sample, against outliers: a queue that the daemon does not know of, or a caller
// that declared far more than it needs.
constexpr double least_ratio = 0.25;
constexpr double most_ratio = 4;
constexpr double least_share = 0.05;

// Streams give a sample with each event. A second of a few streams replaces a wrong start.
constexpr double weight_of_event = 0.02;

/// The part of a sample's difference by which it moves an average.
core::duration weighted(core::duration difference, double by)
{
    return core::duration(static_cast<core::duration::rep>(by * double(difference.count())));
}

} // namespace

void usage_history::record_first_output(const core::service_id& service, core::duration forecast,
                                        core::duration measured)
{
    const double error = std::chrono::duration<double>(measured) /
                         std::max<std::chrono::duration<double>>(forecast, core::duration(1));
    entries_.with(service, [&](auto& entries) {
        double& ratio = entries[service].read_ratio;
        ratio += weight * (std::clamp(ratio * error, least_ratio, most_ratio) - ratio);
    });
}

void usage_history::record_token_time(const core::service_id& service, core::duration time)
{
    entries_.with(service, [&](auto& entries) {
        core::duration& known = entries[service].token_time;
        known = known == core::duration::zero() ? time
                                                : known + weighted(time - known, weight_of_event);
    });
}

void usage_history::record_stream(const core::service_id& service,
                                  const forwarding::call_size& declared,
                                  std::uint64_t output_tokens, core::duration run_time)
{
    entries_.with(service, [&](auto& entries) {
        service_usage& known = entries[service];
        if (declared.output_tokens > 0) {
            const double share = double(output_tokens) / double(declared.output_tokens);
            known.output_share +=
                weight * (std::clamp(share, least_share, 1.0) - known.output_share);
        }
        if (known.run_time == core::duration::zero()) {
            known.run_time = run_time;
            return;
        }
        const auto error = run_time - known.run_time;
        known.run_time += weighted(error, weight);
        known.run_deviation += weighted(std::chrono::abs(error) - known.run_deviation, weight);
    });
}

service_usage usage_history::of(const core::service_id& service)
{
    return entries_.with(service, [&](auto& entries) {
        const auto found = entries.find(service);
        return found == entries.end() ? service_usage{} : found->second;
    });
}

} // namespace ej::overload
