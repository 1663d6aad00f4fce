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

/// The actions of one daemon incarnation. Thread-safe; each event is applied under the lock of its
/// action's shard, so an effect is returned to exactly one caller.
class action_records {
public:
    /// Keeps at most `max_result_bytes` of results for repeats; what ran stays known without them.
    action_records(action_limits limits, std::size_t max_result_bytes);

    /// Applies `event` to `action` and returns what to carry out.
    [[nodiscard]] std::vector<action_effect> apply(const action_id& action, action_event event);

    /// Drops final records whose keys have expired at `now`; returns how many.
    std::size_t expire(core::instant now);

    /// Actions that are not final; a drain waits until there are none.
    [[nodiscard]] std::size_t open_count();

    /// Records held.
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
