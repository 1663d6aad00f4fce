#pragma once

#include <admission/admission_policy.h>
#include <admission/grant.h>
#include <admission/outcome_window.h>
#include <admission/submit_result.h>
#include <admission/target_report.h>
#include <admission/throughput_meter.h>

#include <core/work_class.h>
#include <fairness/fair_queue.h>

#include <memory>
#include <optional>
#include <utility>

namespace ej::admission {

/// Queue of the requests of one class at this daemon. Each call costs O(log n). Not thread-safe.
class class_queue {
public:
    class_queue(core::work_class work_class, std::shared_ptr<const admission_policy> policy,
                std::shared_ptr<const fairness::share_policy> shares);

    /// Replaces the class, such as its target; waiting requests stay.
    void set_class(core::work_class work_class) { class_ = std::move(work_class); }

    /// Queues a request or refuses it at once.
    submit_result submit(const fairness::queued_request& asked, const capacity& capacity,
                         core::instant now);

    /// Takes the next request to run; drops the requests before it that can't meet their target.
    grant next(const capacity& capacity, core::instant now);

    /// Returns a granted request to the queue because no endpoint could run it.
    void put_back(const fairness::queued_request& granted);

    /// Removes a request whose caller has disconnected; false if it is not in the queue.
    bool cancel(const core::request_id& request);

    /// Removes any request without counting an outcome; empty when none waits.
    std::optional<fairness::queued_request> take_any() { return queue_.pop(); }

    /// Records that a granted request began its output at `first_output` and finished at `now`.
    void finished(const fairness::queued_request& done, core::instant first_output,
                  core::instant now);

    /// When the next request has to start to finish in time; empty when none waits.
    [[nodiscard]] std::optional<core::instant> latest_start(const capacity& capacity) const;

    /// Whether the class meets its target now.
    [[nodiscard]] target_report report(core::instant now) const;

private:
    refused_claim refuse(const fairness::queued_request& refused, const refusal& why,
                         core::instant now);
    void advance_meters(const capacity& capacity, core::instant now);
    [[nodiscard]] queue_state state_for(const fairness::queued_request& asked,
                                        const capacity& capacity) const;

    core::work_class class_;
    std::shared_ptr<const admission_policy> policy_;
    fairness::fair_queue queue_;
    throughput_meter throughput_;
    throughput_meter share_;
    outcome_window outcomes_;
    target_report counters_;
};

} // namespace ej::admission
