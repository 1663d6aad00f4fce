#include <admission/class_queues.h>

#include <admission/urgency.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ej::admission {

namespace {

constexpr std::chrono::seconds unknown_class_retry{5};

bool room_for(const core::work_class& work_class, room room)
{
    return room == room::any || (room == room::urgent_only && is_urgent(work_class.target));
}

std::vector<refused_claim> refuse_all_waiting(class_queue& queue)
{
    const refusal why{core::refusal_reason::unknown_class, unknown_class_retry};
    std::vector<refused_claim> refused;
    while (const auto waiting = queue.take_any()) {
        refused.push_back({*waiting, why});
    }
    return refused;
}

} // namespace

class_queues::class_queues(std::shared_ptr<const admission_policy> policy,
                           std::shared_ptr<const fairness::share_policy> shares)
    : policy_(std::move(policy)), shares_(std::move(shares)),
      classes_(std::vector<core::work_class>{})
{
}

std::vector<refused_claim> class_queues::set_classes(std::vector<core::work_class> classes)
{
    std::ranges::sort(classes, {}, &core::work_class::name);
    for (const core::work_class& added : classes) {
        queues_.with(added.name, [&](auto& queues) {
            queues.try_emplace(added.name, added, policy_, shares_).first->second.set_class(added);
        });
    }
    const auto before = classes_.load();
    classes_.store(classes);
    std::vector<refused_claim> refused;
    for (const core::work_class& old : *before) {
        if (std::ranges::binary_search(classes, old.name, {}, &core::work_class::name)) {
            continue;
        }
        const auto removed = queues_.with(old.name, [&](auto& queues) {
            auto waiting = refuse_all_waiting(queues.at(old.name));
            queues.erase(old.name);
            return waiting;
        });
        refused.insert(refused.end(), removed.begin(), removed.end());
    }
    return refused;
}

submit_result class_queues::submit(const core::class_id& name,
                                   const fairness::queued_request& asked, const capacity& capacity,
                                   core::instant now)
{
    return queues_.with(name, [&](auto& queues) {
        const auto found = queues.find(name);
        if (found == queues.end()) {
            const refusal why{core::refusal_reason::unknown_class, unknown_class_retry};
            return submit_result{why, std::nullopt};
        }
        return found->second.submit(asked, capacity, now);
    });
}

grant class_queues::next(const core::service_id& service, room room, const capacity& capacity,
                         core::instant now)
{
    const auto chosen = least_time_left(service, room, capacity);
    if (!chosen) {
        return {};
    }
    const core::class_id& name = chosen->work_class.name;
    return queues_.with(name, [&](auto& queues) {
        const auto found = queues.find(name);
        return found == queues.end() ? grant{} : found->second.next(capacity, now);
    });
}

void class_queues::put_back(const core::class_id& name, const fairness::queued_request& granted)
{
    queues_.with(name, [&](auto& queues) {
        if (const auto found = queues.find(name); found != queues.end()) {
            found->second.put_back(granted);
        }
    });
}

bool class_queues::cancel(const core::class_id& name, const core::request_id& request)
{
    return queues_.with(name, [&](auto& queues) {
        const auto found = queues.find(name);
        return found != queues.end() && found->second.cancel(request);
    });
}

void class_queues::finished(const core::class_id& name, const fairness::queued_request& done,
                            core::instant first_output, core::instant now)
{
    queues_.with(name, [&](auto& queues) {
        if (const auto found = queues.find(name); found != queues.end()) {
            found->second.finished(done, first_output, now);
        }
    });
}

std::vector<target_report> class_queues::reports(core::instant now)
{
    std::vector<target_report> reports;
    queues_.for_each_shard([&](const auto& queues) {
        for (const auto& [name, queue] : queues) {
            reports.push_back(queue.report(now));
        }
    });
    std::ranges::sort(reports, {}, &target_report::work_class);
    return reports;
}

std::optional<class_candidate> class_queues::candidate_of(const core::work_class& work_class,
                                                          const capacity& capacity)
{
    return queues_.with(work_class.name, [&](auto& queues) -> std::optional<class_candidate> {
        const auto found = queues.find(work_class.name);
        if (found == queues.end()) {
            return std::nullopt;
        }
        const auto start = found->second.latest_start(capacity);
        return start ? std::optional(class_candidate{work_class, *start}) : std::nullopt;
    });
}

std::optional<class_candidate> class_queues::least_time_left(const core::service_id& service,
                                                             room room, const capacity& capacity)
{
    const auto classes = classes_.load();
    std::optional<class_candidate> best;
    for (const core::work_class& work_class : *classes) {
        if (work_class.service != service || !room_for(work_class, room)) {
            continue;
        }
        auto candidate = candidate_of(work_class, capacity);
        if (candidate && (!best || candidate->latest_start < best->latest_start)) {
            best = std::move(candidate);
        }
    }
    return best;
}

} // namespace ej::admission
