#include <routing/estimate.h>

#include <algorithm>
#include <chrono>

namespace ej::routing {

namespace {

using seconds = std::chrono::duration<double>;

constexpr double unknown_rate = 20.0; // tokens per second
constexpr double slow_start_seconds = 5.0;
constexpr double slow_start_floor = 0.1;
constexpr double min_success = 0.05;
constexpr double failure_cost_seconds = 5.0;
constexpr double trusted_success = 0.5;
constexpr std::uint32_t urgent_divisor = 4;

double ramp(const endpoint_view& view, core::instant now)
{
    const double age = std::chrono::duration_cast<seconds>(now - view.available_since).count();
    return std::clamp(age / slow_start_seconds, slow_start_floor, 1.0);
}

} // namespace

double occupied_slots(const endpoint_view& view)
{
    const double corrected =
        static_cast<double>(view.reported) + view.sent_since_report - view.ended_since_report;
    return std::max(corrected, static_cast<double>(view.in_flight));
}

double estimated_finish_seconds(const endpoint_view& view, const request_features& request,
                                core::instant now)
{
    const double rate = (view.work_rate > 0 ? view.work_rate : unknown_rate) * ramp(view, now);
    const double service = request.work / rate;
    const double ahead = request.urgent ? view.urgent_in_flight : occupied_slots(view);
    const double queued = std::max(ahead - view.slots + 1, 0.0) / view.slots;
    const double success = std::max(view.success, min_success);
    const double tries = 1 / success;
    return service * (1 + queued) * tries + failure_cost_seconds * (tries - 1);
}

bool has_room(const endpoint_view& view, bool urgent)
{
    if (view.blocked_until) {
        return false;
    }
    if (view.success < trusted_success) {
        return view.in_flight == 0;
    }
    // Engines run urgent requests first, so these may exceed the limit by at most a quarter of the
    // slots (one slot if there are fewer than four).
    const std::uint32_t extra = urgent ? std::max(view.slots / urgent_divisor, 1U) : 0;
    return view.in_flight < view.limit + extra;
}

} // namespace ej::routing
