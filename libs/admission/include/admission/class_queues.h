#pragma once

#include <admission/admission_policy.h>
#include <admission/capacity.h>
#include <admission/class_candidate.h>
#include <admission/class_queue.h>
#include <admission/grant.h>
#include <admission/room.h>
#include <admission/submit_result.h>
#include <admission/target_report.h>

#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/work_class.h>
#include <fairness/share_policy.h>

#include <memory>
#include <optional>
#include <vector>

namespace ej::admission {

/// All classes' queues at this daemon, a lock per shard of classes. Thread-safe.
class class_queues {
public:
    class_queues(std::shared_ptr<const admission_policy> policy,
                 std::shared_ptr<const fairness::share_policy> shares);

    /// Puts the accepted classes in force. Returns what waited in classes that are gone.
    std::vector<refused_claim> set_classes(std::vector<core::work_class> classes);

    /// Takes a request in or refuses it at once.
    [[nodiscard]] submit_result submit(const core::class_id& name, const fairness::claim& asked,
                                       const capacity& capacity, core::instant now);

    /// The next request of `service` to run: of the class whose next request has the least time
    /// left, among those that there is room for.
    [[nodiscard]] grant next(const core::service_id& service, room room, const capacity& capacity,
                             core::instant now);

    /// Undoes a grant that found no endpoint.
    void put_back(const core::class_id& name, const fairness::claim& granted);

    /// Takes a request out whose caller has gone; false if it does not wait.
    bool cancel(const core::class_id& name, const core::request_id& request);

    /// Notes that a granted request began its output at `first_output` and finished at `now`.
    void finished(const core::class_id& name, const fairness::claim& done,
                  core::instant first_output, core::instant now);

    /// Whether each class meets its target, in order of their names.
    [[nodiscard]] std::vector<target_report> reports(core::instant now);

private:
    std::optional<class_candidate> candidate_of(const core::work_class& work_class,
                                                const capacity& capacity);
    std::optional<class_candidate> least_time_left(const core::service_id& service, room room,
                                                   const capacity& capacity);

    std::shared_ptr<const admission_policy> policy_;
    std::shared_ptr<const fairness::share_policy> shares_;
    concurrency::snapshot<std::vector<core::work_class>> classes_;
    concurrency::sharded<core::class_id, class_queue> queues_;
};

} // namespace ej::admission
