#include <admission/predicted_finish.h>

#include <algorithm>
#include <chrono>

namespace ej::admission {

namespace {

using seconds = std::chrono::duration<double>;

// Service rates are averages; the margin covers waits longer than average.
constexpr double wait_margin = 1.1;
// Later requests that overtake make a wait at most this many times longer.
constexpr double max_overtake_factor = 4.0;
constexpr double min_retry_seconds = 0.1;
constexpr double max_retry_seconds = 60.0;
constexpr double no_endpoint_retry_seconds = 1.0;

double service_seconds(const fairness::queued_request& asked, const capacity& capacity)
{
    return capacity.slot_rate > 0 ? asked.work / capacity.slot_rate : 0;
}

double seconds_until(core::instant then, core::instant now)
{
    return std::chrono::duration_cast<seconds>(then - now).count();
}

// Longest wait, in seconds, after which both targets can still be met.
double seconds_to_latest_start(const fairness::queued_request& asked, const capacity& capacity,
                               core::instant now)
{
    return std::min(seconds_until(asked.finish_by, now) - service_seconds(asked, capacity),
                    seconds_until(asked.start_by, now));
}

// Under max-min fair shares, a request's turn comes when every waiting workspace has been served as
// much work as the request's own. The measured `share_per_second` includes later requests that
// overtake; until it is known, each waiting workspace counts with as much work as the request's
// own.
double wait_seconds(const queue_state& queue, double throughput)
{
    if (throughput <= 0) {
        return 0;
    }
    if (queue.share_per_second > 0) {
        const double all = queue.all.work / throughput;
        return std::min(queue.own_distance / queue.share_per_second, max_overtake_factor * all);
    }
    const auto workspaces = static_cast<double>(std::max<std::size_t>(queue.workspaces, 1));
    return std::min(queue.all.work, queue.own.work * workspaces) / throughput;
}

bool over_fair_share(const queue_state& queue)
{
    return queue.workspaces > 1 && queue.own.count * queue.workspaces > queue.all.count;
}

refusal refused(core::refusal_reason reason, double retry_seconds)
{
    const seconds bounded(std::clamp(retry_seconds, min_retry_seconds, max_retry_seconds));
    return {reason, std::chrono::duration_cast<core::duration>(bounded)};
}

std::optional<refusal> refuse_by_length(const queue_state& queue, double throughput)
{
    if (queue.all.count < queue.max_waiting) {
        return std::nullopt;
    }
    // A workspace within its fair share is admitted: the newest request of the workspace with the
    // longest queue is evicted.
    if (queue.workspaces > 1 && !over_fair_share(queue)) {
        return std::nullopt;
    }
    const auto reason =
        queue.workspaces > 1 ? core::refusal_reason::over_share : core::refusal_reason::queue_full;
    const double work_per_request = queue.all.work / static_cast<double>(queue.all.count);
    return refused(reason, throughput > 0 ? work_per_request / throughput : max_retry_seconds);
}

std::optional<refusal> refuse_by_time(const fairness::queued_request& asked,
                                      const queue_state& queue, const capacity& capacity,
                                      double throughput, core::instant now)
{
    const double wait = wait_margin * wait_seconds(queue, throughput);
    const double late = wait - seconds_to_latest_start(asked, capacity, now);
    if (late <= 0) {
        return std::nullopt;
    }
    const auto reason = over_fair_share(queue) ? core::refusal_reason::over_share
                                               : core::refusal_reason::target_unreachable;
    return refused(reason, late);
}

} // namespace

std::optional<refusal> predicted_finish::refuse(const fairness::queued_request& asked,
                                                const queue_state& queue, const capacity& capacity,
                                                core::instant now) const
{
    if (capacity.slots == 0) {
        return refused(core::refusal_reason::no_endpoint, no_endpoint_retry_seconds);
    }
    const double throughput =
        queue.served_per_second > 0 ? queue.served_per_second : capacity.work_per_second;
    if (auto full = refuse_by_length(queue, throughput)) {
        return full;
    }
    return refuse_by_time(asked, queue, capacity, throughput, now);
}

bool predicted_finish::too_late(const fairness::queued_request& waiting, const capacity& capacity,
                                core::instant now) const
{
    return seconds_to_latest_start(waiting, capacity, now) < 0;
}

} // namespace ej::admission
