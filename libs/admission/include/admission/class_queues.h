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

/// Queues of all classes at this daemon, with one lock per shard of classes. Thread-safe.
class class_queues {
public:
    class_queues(std::shared_ptr<const admission_policy> policy,
                 std::shared_ptr<const fairness::share_policy> shares);

    /// Replaces the classes. Returns the requests that waited in removed classes.
    std::vector<refused_claim> set_classes(std::vector<core::work_class> classes);

    /// Queues a request or refuses it at once.
    [[nodiscard]] submit_result submit(const core::class_id& name,
                                       const fairness::queued_request& asked,
                                       const capacity& capacity, core::instant now);

    /// Takes the next request of `service` to run: from the class whose next request must start
    /// soonest, among the classes that `room` allows.
    [[nodiscard]] grant next(const core::service_id& service, room room, const capacity& capacity,
                             core::instant now);

    /// Returns a granted request to its queue because no endpoint could run it.
    void put_back(const core::class_id& name, const fairness::queued_request& granted);

    /// Removes a request whose caller has disconnected; false if it is not in the queue.
    bool cancel(const core::class_id& name, const core::request_id& request);

    /// Records that a granted request began its output at `first_output` and finished at `now`.
    void finished(const core::class_id& name, const fairness::queued_request& done,
                  core::instant first_output, core::instant now);

    /// Reports whether each class meets its target, ordered by class name.
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
