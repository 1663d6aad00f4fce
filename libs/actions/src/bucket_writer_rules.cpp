#include <actions/bucket_writer_rules.h>

#include "bucket_writer_steps.h"
#include "bucket_writer_table.h"

#include <actions/claim_merge.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::actions {

constinit const std::array<bucket_writer_rules::table::row, bucket_writer_phase_count>
    bucket_writer_rules::table::rows{
        {// claim_wanted, call_due, read_answered, read_failed, write_accepted, write_refused,
         // write_failed
         {&bucket_writer_rules::start, &bucket_writer_rules::ignore, &bucket_writer_rules::ignore,
          &bucket_writer_rules::ignore, &bucket_writer_rules::ignore, &bucket_writer_rules::ignore,
          &bucket_writer_rules::ignore},
         {&bucket_writer_rules::enqueue, &bucket_writer_rules::start_call,
          &bucket_writer_rules::ignore, &bucket_writer_rules::ignore, &bucket_writer_rules::ignore,
          &bucket_writer_rules::ignore, &bucket_writer_rules::ignore},
         {&bucket_writer_rules::enqueue, &bucket_writer_rules::ignore,
          &bucket_writer_rules::handle_read, &bucket_writer_rules::fail,
          &bucket_writer_rules::ignore, &bucket_writer_rules::ignore, &bucket_writer_rules::ignore},
         {&bucket_writer_rules::enqueue, &bucket_writer_rules::ignore, &bucket_writer_rules::ignore,
          &bucket_writer_rules::ignore, &bucket_writer_rules::accept,
          &bucket_writer_rules::conflict, &bucket_writer_rules::fail}}};

namespace {

// Returns `writer` with `bucket` as its cached value, read or written at `event`.
bucket_writer with_cached(bucket_writer writer, claim_bucket bucket,
                          const bucket_writer_event& event)
{
    writer.first_seen = carry_over_first_seen(writer.cached, writer.first_seen, bucket, event.now);
    writer.cached = std::move(bucket);
    writer.cached_at = event.now;
    writer.revision = event.revision;
    writer.cache_current = true;
    return writer;
}

// The bucket's clock advanced by the monotonic clock. Correct even if this VM's time of day is
// behind.
wall_time clock_of(const bucket_writer& writer, core::instant now)
{
    return writer.cached.clock +
           std::chrono::floor<std::chrono::milliseconds>(now - writer.cached_at);
}

// Returns `writer` prepared for a write: expired claims are removed first, so that a new claim of
// the same action gets a new first-seen time.
bucket_writer pruned_writer(bucket_writer writer, const bucket_writer_event& event,
                            const claim_limits& limits)
{
    claim_bucket base = pruned(writer.cached, writer.first_seen, event.now - limits.retention);
    base.clock = std::max(event.at, clock_of(writer, event.now));
    writer.first_seen = carry_over_first_seen(writer.cached, writer.first_seen, base, event.now);
    writer.cached = std::move(base);
    writer.cached_at = event.now;
    return writer;
}

} // namespace

bucket_writer_transition bucket_writer_rules::apply(bucket_writer writer,
                                                    const bucket_writer_event& event) const
{
    const auto handler = table::rows.at(static_cast<std::size_t>(writer.phase))
                             .at(static_cast<std::size_t>(event.kind));
    return (this->*handler)(std::move(writer), event);
}

bucket_writer_transition bucket_writer_rules::ignore(bucket_writer writer,
                                                     const bucket_writer_event& /*event*/) const
{
    return {std::move(writer), {}};
}

bucket_writer_transition bucket_writer_rules::start(bucket_writer writer,
                                                    const bucket_writer_event& event) const
{
    writer.waiting.push_back(event.wanted);
    return schedule_next_call(std::move(writer), {});
}

bucket_writer_transition bucket_writer_rules::enqueue(bucket_writer writer,
                                                      const bucket_writer_event& event) const
{
    const auto same = [&](const claim& other) { return other.action == event.wanted.action; };
    const bool pending =
        std::ranges::any_of(writer.waiting, same) || std::ranges::any_of(writer.in_flight, same);
    if (!pending) {
        writer.waiting.push_back(event.wanted);
    }
    return {std::move(writer), {}};
}

bucket_writer_transition bucket_writer_rules::start_call(bucket_writer writer,
                                                         const bucket_writer_event& event) const
{
    if (writer.cache_current) {
        return write(std::move(writer), event);
    }
    writer.phase = bucket_writer_phase::reading;
    return {std::move(writer), {bucket_writer_effect{}}};
}

bucket_writer_transition bucket_writer_rules::handle_read(bucket_writer writer,
                                                          const bucket_writer_event& event) const
{
    // A lower revision means that the store lost claims: an action without a claim may have run.
    if (event.revision < writer.highest_revision) {
        return given_up(std::move(writer));
    }
    writer.highest_revision = event.revision;
    return write(with_cached(std::move(writer), event.bucket, event), event);
}

bucket_writer_transition bucket_writer_rules::write(bucket_writer writer,
                                                    const bucket_writer_event& event) const
{
    writer = pruned_writer(std::move(writer), event, limits_);
    claim_merge merged = merge(writer.cached, writer.waiting, limits_);
    std::vector<bucket_writer_effect> effects;
    std::ranges::transform(merged.verdicts, std::back_inserter(effects), settle);
    writer.waiting.clear();
    if (merged.added.empty()) {
        return schedule_next_call(std::move(writer), std::move(effects));
    }
    writer.phase = bucket_writer_phase::writing;
    writer.in_flight = std::move(merged.added);
    writer.written = merged.next;
    bucket_writer_effect request;
    request.kind = bucket_writer_effect_kind::write;
    request.bucket = std::move(merged.next);
    request.revision = writer.revision;
    effects.push_back(std::move(request));
    return {std::move(writer), std::move(effects)};
}

bucket_writer_transition bucket_writer_rules::accept(bucket_writer writer,
                                                     const bucket_writer_event& event) const
{
    std::vector<bucket_writer_effect> effects;
    std::ranges::transform(writer.in_flight, std::back_inserter(effects), [](const claim& added) {
        return settle({verdict_kind::bound, added, {}, {}});
    });
    writer.in_flight.clear();
    claim_bucket written = std::exchange(writer.written, {});
    writer = with_cached(std::move(writer), std::move(written), event);
    writer.highest_revision = std::max(writer.highest_revision, event.revision);
    writer.failures = 0;
    writer.conflicts = 0;
    return schedule_next_call(std::move(writer), std::move(effects));
}

bucket_writer_transition bucket_writer_rules::conflict(bucket_writer writer,
                                                       const bucket_writer_event& /*event*/) const
{
    ++writer.conflicts;
    return writer.conflicts >= limits_.max_conflicts
               ? given_up(std::move(writer))
               : schedule_next_call(requeued(std::move(writer)), {});
}

// The claims are written again with the same nonces, so the result is the same whether the lost
// write takes effect before the next one, after it, or never.
bucket_writer_transition bucket_writer_rules::fail(bucket_writer writer,
                                                   const bucket_writer_event& /*event*/) const
{
    ++writer.failures;
    return writer.failures >= limits_.max_failures
               ? given_up(std::move(writer))
               : schedule_next_call(requeued(std::move(writer)), {});
}

} // namespace ej::actions
