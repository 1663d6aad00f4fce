#include "bucket_writer_steps.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::actions {

bucket_writer_effect settle(claim_verdict verdict)
{
    bucket_writer_effect effect;
    effect.kind = bucket_writer_effect_kind::settle;
    effect.verdict = std::move(verdict);
    return effect;
}

bucket_writer_transition schedule_next_call(bucket_writer writer,
                                            std::vector<bucket_writer_effect> effects)
{
    writer.phase =
        writer.waiting.empty() ? bucket_writer_phase::idle : bucket_writer_phase::scheduled;
    if (writer.phase == bucket_writer_phase::scheduled) {
        bucket_writer_effect next_call;
        next_call.kind = bucket_writer_effect_kind::schedule;
        effects.push_back(std::move(next_call));
    }
    return {std::move(writer), std::move(effects)};
}

bucket_writer requeued(bucket_writer writer)
{
    writer.cache_current = false;
    writer.waiting.insert(writer.waiting.begin(), writer.in_flight.begin(), writer.in_flight.end());
    writer.in_flight.clear();
    return writer;
}

bucket_writer_transition given_up(bucket_writer writer)
{
    writer = requeued(std::move(writer));
    std::vector<bucket_writer_effect> effects;
    std::ranges::transform(writer.waiting, std::back_inserter(effects), [](const claim& wanted) {
        return settle({verdict_kind::failed, wanted, {}, {}});
    });
    writer.waiting.clear();
    writer.failures = 0;
    writer.conflicts = 0;
    return schedule_next_call(std::move(writer), std::move(effects));
}

} // namespace ej::actions
