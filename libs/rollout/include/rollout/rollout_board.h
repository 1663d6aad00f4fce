#pragma once

#include <rollout/awaited_answer.h>
#include <rollout/measured_answer.h>
#include <rollout/pending_sample.h>
#include <rollout/rollout_state.h>
#include <rollout/route_answers.h>

#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>
#include <core/instant.h>
#include <core/revision.h>
#include <core/service_id.h>
#include <core/version_id.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ej::rollout {

/// The roll-outs that a daemon knows of and its own answers during them. Thread-safe: states are an
/// immutable snapshot, answers have one lock per shard of services. Without roll-outs, reading
/// costs one atomic load.
class rollout_board {
public:
    using state_ptr = std::shared_ptr<const rollout_state>;

    /// The roll-out of `service`; null if there is none.
    [[nodiscard]] state_ptr of(const core::service_id& service) const;

    /// The services whose order has not come to its end.
    [[nodiscard]] std::vector<core::service_id> open() const;

    /// Applies an order of the store. What is older than the known state is ignored here and below;
    /// returns true if it was not.
    bool put_order(const rollout_order& order, core::instant now);

    /// Applies the removal of the order at `revision`.
    void remove_order(const core::service_id& service, core::revision revision);

    /// Applies a record of the store, written at `revision`.
    bool put_record(const core::service_id& service, const rollout_record& record,
                    core::revision revision, core::instant now);

    /// Removes the orders and the records of other services, as of a listing at `revision`.
    void retain(const std::set<core::service_id>& ordered,
                const std::set<core::service_id>& recorded, core::revision revision);

    /// Applies the removal of the record at `revision`.
    void remove_record(const core::service_id& service, core::revision revision);

    /// Sets the share of a trial of `service`, if it has one.
    void set_trial_share(const core::service_id& service, share to_target);

    /// Sends nothing more to the target of `order`. Returns true if it was not rejected before.
    bool reject_target(const core::service_id& service, core::revision order);

    /// Counts an answer if its service has an open roll-out.
    void record(const measured_answer& seen);

    /// Counts a request that was sent to an endpoint of `version` at `now` as awaited, for as long
    /// as the result lives.
    [[nodiscard]] pending_sample await(const core::service_id& service,
                                       const core::version_id& version, std::string route,
                                       core::instant now);

    /// Ends what `await` began.
    void forget(const core::service_id& service, std::uint64_t number);

    /// The answers that this daemon has received or awaits for the order of `service`.
    [[nodiscard]] answers_by_route answers_of(const core::service_id& service, core::instant now);

private:
    using states = std::map<core::service_id, state_ptr>;
    /// Changes a state; false if it leaves it as it is.
    using change = std::function<bool(rollout_state&)>;

    struct own_answers {
        core::revision order;
        answers_by_route by_route;
        std::map<std::uint64_t, awaited_answer> awaited;
    };

    bool change_state(const core::service_id& service, const change& by);

    std::atomic<bool> any_{false};
    concurrency::snapshot<states> states_{states()};
    concurrency::sharded<core::service_id, own_answers> answers_;
    std::atomic<std::uint64_t> awaits_{0};
};

} // namespace ej::rollout
