#include <admission/predicted_finish.h>

#include <algorithm>
#include <chrono>

namespace ej::admission {

namespace {

using seconds = std::chrono::duration<double>;

// Service rates are means; a margin on the wait covers what lies above them.
constexpr double wait_margin = 1.25;
constexpr double least_retry_seconds = 0.1;
constexpr double most_retry_seconds = 60.0;
constexpr double no_endpoint_retry_seconds = 1.0;

double service_seconds(const fairness::claim& asked, const capacity& capacity)
{
    return capacity.slot_rate > 0 ? asked.work / capacity.slot_rate : 0;
}

double seconds_left(const fairness::claim& asked, core::instant now)
{
    return std::chrono::duration_cast<seconds>(asked.finish_by - now).count();
}

// Under max-min shares a workspace waits for its own requests, each beside one of every other
// workspace, and never for more than the whole queue.
double work_ahead(const queue_state& queue)
{
    const auto workspaces = static_cast<double>(std::max<std::size_t>(queue.workspaces, 1));
    return std::min(queue.all.work, queue.own.work * workspaces);
}

bool over_fair_part(const queue_state& queue)
{
    return queue.workspaces > 1 && queue.own.count * queue.workspaces > queue.all.count;
}

refusal refused(core::refusal_reason reason, double retry_seconds)
{
    const seconds bounded(std::clamp(retry_seconds, least_retry_seconds, most_retry_seconds));
    return {reason, std::chrono::duration_cast<core::duration>(bounded)};
}

std::optional<refusal> refuse_by_length(const queue_state& queue, double drain)
{
    if (queue.all.count < queue.max_waiting) {
        return std::nullopt;
    }
    // Within its fair part a workspace takes the place of the newest request of the longest.
    if (queue.workspaces > 1 && !over_fair_part(queue)) {
        return std::nullopt;
    }
    const auto reason =
        queue.workspaces > 1 ? core::refusal_reason::over_share : core::refusal_reason::queue_full;
    const double a_place = queue.all.work / static_cast<double>(queue.all.count);
    return refused(reason, drain > 0 ? a_place / drain : most_retry_seconds);
}

std::optional<refusal> refuse_by_time(const fairness::claim& asked, const queue_state& queue,
                                      const capacity& capacity, double drain, core::instant now)
{
    const double wait = drain > 0 ? wait_margin * work_ahead(queue) / drain : 0;
    const double late = wait + service_seconds(asked, capacity) - seconds_left(asked, now);
    if (late <= 0) {
        return std::nullopt;
    }
    const auto reason = over_fair_part(queue) ? core::refusal_reason::over_share
                                              : core::refusal_reason::target_unreachable;
    return refused(reason, late);
}

} // namespace

std::optional<refusal> predicted_finish::refuse(const fairness::claim& asked,
                                                const queue_state& queue, const capacity& capacity,
                                                core::instant now) const
{
    if (capacity.slots == 0) {
        return refused(core::refusal_reason::no_endpoint, no_endpoint_retry_seconds);
    }
    const double drain =
        queue.drain_per_second > 0 ? queue.drain_per_second : capacity.work_per_second;
    if (auto full = refuse_by_length(queue, drain)) {
        return full;
    }
    return refuse_by_time(asked, queue, capacity, drain, now);
}

bool predicted_finish::too_late(const fairness::claim& waiting, const capacity& capacity,
                                core::instant now) const
{
    return service_seconds(waiting, capacity) > seconds_left(waiting, now);
}

} // namespace ej::admission
