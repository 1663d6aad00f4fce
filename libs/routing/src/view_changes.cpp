#include <routing/view_changes.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::routing {

namespace {

using seconds = std::chrono::duration<double>;

constexpr double rate_weight = 0.2;
constexpr double success_weight = 0.3;
constexpr double success_floor = 0.5;
constexpr std::chrono::seconds block_time{1};

std::uint32_t saturating_subtract(std::uint32_t from, std::uint32_t by)
{
    return from - std::min(from, by);
}

double blended(double old, double sample, double weight)
{
    return old == 0 ? sample : old + weight * (sample - old);
}

endpoint_view after_success(endpoint_view view, const outcome& outcome)
{
    const double took = std::chrono::duration_cast<seconds>(outcome.took).count();
    if (took > 0 && outcome.work > 0) {
        view.work_rate = blended(view.work_rate, outcome.work / took, rate_weight);
    }
    view.success += success_weight * (1 - view.success);
    return view;
}

// Failures do not change the work rate: an endpoint that fails quickly is not a fast endpoint.
endpoint_view after_failure(endpoint_view view, core::instant now)
{
    view.success -= success_weight * view.success;
    if (view.success < success_floor) {
        view.blocked_until = now + block_time;
    }
    return view;
}

} // namespace

endpoint_view new_view(const core::endpoint& endpoint, const limits::limiter& limiter,
                       const limits::daemon_share& share, core::instant now)
{
    endpoint_view view{.name = endpoint.name, .slots = endpoint.slots, .available_since = now};
    // Counts as full until its first load report, so that no daemon borrows slots that may be in
    // use.
    const limits::endpoint_load load{endpoint.name, endpoint.slots, endpoint.slots, 0, 0, 0};
    view.limit = limiter.next(0, load, share);
    return view;
}

endpoint_view with_report(endpoint_view view, const load_report& report,
                          const limits::limiter& limiter, const limits::daemon_share& share)
{
    ++view.reports;
    view.slots = std::max(report.slots, 1U);
    view.reported = report.running + report.waiting;
    view.sent_since_report = 0;
    view.ended_since_report = 0;
    view.limit = limiter.next(
        view.limit,
        {view.name, view.slots, report.running, report.waiting, view.in_flight, view.reports},
        share);
    if (report.tokens_per_second > 0) {
        view.work_rate = report.tokens_per_second;
    }
    return view;
}

endpoint_view with_sent(endpoint_view view, bool urgent)
{
    ++view.in_flight;
    view.urgent_in_flight += urgent ? 1 : 0;
    ++view.sent_since_report;
    return view;
}

endpoint_view with_outcome(endpoint_view view, const outcome& outcome, bool urgent,
                           core::instant now)
{
    view.in_flight = saturating_subtract(view.in_flight, 1);
    view.urgent_in_flight = saturating_subtract(view.urgent_in_flight, urgent ? 1 : 0);
    ++view.ended_since_report;
    if (outcome.kind == outcome_kind::finished) {
        return after_success(std::move(view), outcome);
    }
    if (outcome.kind == outcome_kind::failed) {
        return after_failure(std::move(view), now);
    }
    return view;
}

endpoint_view unblocked(endpoint_view view)
{
    view.blocked_until.reset();
    return view;
}

} // namespace ej::routing
