#include <forwarding/endpoint_stats.h>

#include <forwarding/restart_limit.h>

#include <algorithm>
#include <chrono>

namespace ej::forwarding {

namespace {

// Time after which an endpoint at its limit is looked at again. Most plain calls end within it.
constexpr std::chrono::milliseconds look_again{50};

} // namespace

bool endpoint_stats::accepts_requests(core::instant now) const
{
    if (backoff.until == core::instant{}) {
        return true;
    }
    // One request beyond those of before, which may last for long.
    const auto limit = std::max<std::uint64_t>(restart_limit(backoff.accepted, now - backoff.until),
                                               in_flight_before + 1);
    return !in_backoff(now) && in_flight < limit;
}

core::instant endpoint_stats::next_acceptance(core::instant now) const
{
    if (in_backoff(now)) {
        return backoff.until;
    }
    return accepts_requests(now) ? now : now + look_again;
}

} // namespace ej::forwarding
