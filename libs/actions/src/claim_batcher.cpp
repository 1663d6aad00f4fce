#include <actions/claim_batcher.h>

#include <algorithm>
#include <utility>

namespace ej::actions {

claim_batcher::claim_batcher(const claim_limits& limits)
    : limits_(limits), rules_(limits), call_rate_{limits.interval, limits.burst, {}}
{
}

bucket_number claim_batcher::bucket_of(const action_id& action) const
{
    return bucket_number(action.high % limits_.buckets);
}

std::vector<bucket_writer_effect> claim_batcher::apply(bucket_number bucket,
                                                       const bucket_writer_event& event)
{
    auto effects = writers_.with(bucket, [&](auto& writers) {
        bucket_writer& writer = writers[bucket];
        bucket_writer_transition applied = rules_.apply(std::move(writer), event);
        writer = std::move(applied.next);
        return std::move(applied.effects);
    });
    for (bucket_writer_effect& effect : effects) {
        if (effect.kind == bucket_writer_effect_kind::schedule) {
            effect.not_before = reserve_call(event.now);
        }
    }
    return effects;
}

core::instant claim_batcher::reserve_call(core::instant now)
{
    const std::scoped_lock lock(call_rate_mutex_);
    call_rate_ = with_call(call_rate_, now);
    return latest_call_time(call_rate_);
}

} // namespace ej::actions
