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

/// The requests of one class that wait at this daemon. Each call costs O(log n). Not thread-safe.
class class_queue {
public:
    class_queue(core::work_class work_class, std::shared_ptr<const admission_policy> policy,
                std::shared_ptr<const fairness::share_policy> shares);

    /// Puts a changed target in force; what waits stays.
    void set_class(core::work_class work_class) { class_ = std::move(work_class); }

    /// Takes a request in or refuses it at once.
    submit_result submit(const fairness::claim& asked, const capacity& capacity, core::instant now);

    /// The next request to run; drops those that are too late on the way.
    grant next(const capacity& capacity, core::instant now);

    /// Undoes a grant that found no endpoint.
    void put_back(const fairness::claim& granted);

    /// Takes a request out whose caller has gone; false if it does not wait.
    bool cancel(const core::request_id& request);

    /// Takes any request out without a decision on it; empty when none waits.
    std::optional<fairness::claim> take_any() { return queue_.pop(); }

    /// Notes that a granted request began its output at `first_output` and finished at `now`.
    void finished(const fairness::claim& done, core::instant first_output, core::instant now);

    /// When the next request has to start to finish in time; empty when none waits.
    [[nodiscard]] std::optional<core::instant> latest_start(const capacity& capacity) const;

    /// Whether the class meets its target now.
    [[nodiscard]] target_report report(core::instant now) const;

private:
    refused_claim refuse(const fairness::claim& refused, const refusal& why, core::instant now);
    void advance_meters(const capacity& capacity, core::instant now);
    [[nodiscard]] queue_state state_for(const fairness::claim& asked,
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
