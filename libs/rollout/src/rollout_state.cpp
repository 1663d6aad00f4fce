#include <rollout/rollout_state.h>

#include <algorithm>

namespace ej::rollout {

namespace {

/// The rule behind a roll-out. A target that has not succeeded is not used.
version_rule rule_at_end(const rollout_record& record)
{
    if (record.phase == rollout_phase::succeeded) {
        // Endpoints of other versions are stopped without notice.
        return {record.target, true, version_fallback::if_none_listed, whole_share};
    }
    return {record.target, false, version_fallback::never, whole_share};
}

} // namespace

share rollout_state::to_target(core::instant now) const
{
    if (!is_answered() || is_rejected()) {
        return 0;
    }
    if (record->phase != rollout_phase::trial) {
        return record->to_target;
    }
    return now - began < record->until ? std::clamp(trial_share, record->later, record->to_target)
                                       : record->later;
}

version_rule rollout_state::rule_for(share draw, core::instant now) const
{
    if (!order) {
        // Withdrawn before its end, an order counts as rolled back.
        return !record ? version_rule{} : rule_at_end(*record);
    }
    if (is_rejected()) {
        return {order->target, false, version_fallback::never, whole_share};
    }
    if (!is_answered()) {
        return {order->target, false, version_fallback::if_none_listed, whole_share};
    }
    if (is_final(record->phase)) {
        return rule_at_end(*record);
    }
    if (draw >= to_target(now)) {
        return {order->target, false, version_fallback::if_none_listed, whole_share};
    }
    const bool narrowed = record->phase == rollout_phase::trial;
    return {order->target, true, version_fallback::if_none_accepts,
            narrowed ? to_target(now) : whole_share};
}

} // namespace ej::rollout
