#include <admission/class_queue.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::admission {

namespace {

using seconds = std::chrono::duration<double>;

// A class is reported as missing its target above this share of late or refused requests.
constexpr double tolerated_missed_share = 0.01;

core::duration scaled(core::duration length, double factor)
{
    return std::chrono::duration_cast<core::duration>(length * factor);
}

} // namespace

class_queue::class_queue(core::work_class work_class,
                         std::shared_ptr<const admission_policy> policy,
                         std::shared_ptr<const fairness::share_policy> shares)
    : class_(std::move(work_class)), policy_(std::move(policy)), queue_(std::move(shares))
{
}

submit_result class_queue::submit(const fairness::queued_request& asked, const capacity& capacity,
                                  core::instant now)
{
    advance_meters(capacity, now);
    if (const auto why = policy_->refuse(asked, state_for(asked, capacity), capacity, now)) {
        refuse(asked, *why, now);
        return {why, std::nullopt};
    }
    submit_result result;
    // If the policy admits the request to a full queue, the newest request of the workspace with
    // the longest queue is evicted.
    if (queue_.waiting().count >= class_.target.max_waiting &&
        queue_.waiting_of(asked.workspace).count < queue_.waiting().count) {
        if (const auto newest = queue_.take_newest_of_longest()) {
            const refusal why{core::refusal_reason::over_share, scaled(class_.target.finish, 0.5)};
            result.evicted = refuse(*newest, why, now);
        }
    }
    queue_.push(asked);
    return result;
}

grant class_queue::next(const capacity& capacity, core::instant now)
{
    advance_meters(capacity, now);
    grant result{.work_class = class_.name, .granted = {}, .dropped = {}};
    while (const fairness::queued_request* const head = queue_.next()) {
        if (policy_->too_late(*head, capacity, now)) {
            const refusal why{core::refusal_reason::waited_too_long,
                              scaled(class_.target.finish, 0.5)};
            // `cancel` rather than `pop`: a request that did not run is not charged to its
            // workspace.
            const auto late = queue_.cancel(core::request_id(head->request));
            result.dropped.push_back(refuse(*late, why, now));
            continue;
        }
        const double share = queue_.virtual_time();
        result.granted = queue_.pop();
        share_.add(queue_.virtual_time() - share);
        throughput_.add(result.granted->work);
        break;
    }
    return result;
}

void class_queue::put_back(const fairness::queued_request& granted)
{
    throughput_.add(-granted.work);
    queue_.put_back(granted);
}

bool class_queue::cancel(const core::request_id& request)
{
    return queue_.cancel(request).has_value();
}

void class_queue::finished(const fairness::queued_request& done, core::instant first_output,
                           core::instant now)
{
    const bool on_time = now <= done.finish_by && first_output <= done.start_by;
    ++(on_time ? counters_.on_time : counters_.late);
    outcomes_.add(on_time, now);
    queue_.note_lateness(done.workspace,
                         seconds(now - done.arrived) / seconds(done.finish_by - done.arrived));
}

std::optional<core::instant> class_queue::latest_start(const capacity& capacity) const
{
    const fairness::queued_request* const head = queue_.next();
    if (head == nullptr) {
        return std::nullopt;
    }
    const double service = capacity.slot_rate > 0 ? head->work / capacity.slot_rate : 0;
    return std::min(head->start_by,
                    head->finish_by - std::chrono::duration_cast<core::duration>(seconds(service)));
}

target_report class_queue::report(core::instant now) const
{
    target_report report = counters_;
    report.work_class = class_.name;
    report.waiting = queue_.waiting().count;
    report.work_waiting = queue_.waiting().work;
    report.oldest_age = now - queue_.oldest().value_or(now);
    report.missed_share = outcomes_.missed_share(now);
    report.met = report.missed_share <= tolerated_missed_share &&
                 report.oldest_age <= class_.target.first_token;
    return report;
}

refused_claim class_queue::refuse(const fairness::queued_request& refused, const refusal& why,
                                  core::instant now)
{
    ++counters_.refused.at(static_cast<std::size_t>(why.reason));
    outcomes_.add(false, now);
    return {refused, why};
}

void class_queue::advance_meters(const capacity& capacity, core::instant now)
{
    const bool waiting = queue_.workspaces() > 0;
    throughput_.advance(waiting, capacity.work_per_second, now);
    share_.advance(waiting, capacity.work_per_second, now);
}

queue_state class_queue::state_for(const fairness::queued_request& asked,
                                   const capacity& capacity) const
{
    const fairness::backlog own = queue_.waiting_of(asked.workspace);
    return {queue_.waiting(),
            own,
            queue_.workspaces() + (own.count == 0 ? 1 : 0),
            class_.target.max_waiting,
            throughput_.per_second(capacity.work_per_second),
            queue_.distance_of(asked.workspace),
            share_.per_second(capacity.work_per_second)};
}

} // namespace ej::admission
