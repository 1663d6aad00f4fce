#pragma once

#include <actions/action_effect.h>
#include <actions/action_event.h>
#include <actions/action_id.h>
#include <actions/action_rules.h>
#include <actions/action_state.h>
#include <actions/result_ledger.h>

#include <concurrency/sharded.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ej::actions {

/// The actions of one daemon incarnation. Thread-safe: each event is applied under the lock of its
/// action's shard, so each effect is returned to exactly one caller.
class action_records {
public:
    /// Retains at most `max_result_bytes` of results for repeated submissions. A record whose
    /// result was dropped still states that the action ran.
    action_records(action_limits limits, std::size_t max_result_bytes);

    /// Applies `event` to `action` and returns the effects to perform.
    [[nodiscard]] std::vector<action_effect> apply(const action_id& action, action_event event);

    /// Drops final records whose keys have expired at `now`. Returns their number.
    std::size_t expire(core::instant now);

    /// Number of actions that are not final. A drain waits until it is 0.
    [[nodiscard]] std::size_t open_count();

    /// Number of records.
    [[nodiscard]] std::size_t size() { return records_.size(); }

private:
    using record_map = concurrency::sharded<action_id, action_state>::map;

    [[nodiscard]] transition step(record_map& records, const action_id& action,
                                  const action_event& event) const;

    concurrency::sharded<action_id, action_state> records_;
    result_ledger results_;
    std::atomic<std::uint64_t> last_nonce_{0};
    action_rules rules_;
};

} // namespace ej::actions
