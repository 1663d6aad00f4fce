#include <actions/lane_rules.h>

#include "lane_steps.h"
#include "lane_table.h"

#include <actions/claim_merge.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::actions {

constinit const std::array<lane_rules::table::row, lane_phase_count> lane_rules::table::rows{
    {// claim_wanted, turn_came, read_answered, read_failed, write_accepted, write_refused,
     // write_failed
     {&lane_rules::start, &lane_rules::ignore, &lane_rules::ignore, &lane_rules::ignore,
      &lane_rules::ignore, &lane_rules::ignore, &lane_rules::ignore},
     {&lane_rules::gather, &lane_rules::take_turn, &lane_rules::ignore, &lane_rules::ignore,
      &lane_rules::ignore, &lane_rules::ignore, &lane_rules::ignore},
     {&lane_rules::gather, &lane_rules::ignore, &lane_rules::learn, &lane_rules::fail,
      &lane_rules::ignore, &lane_rules::ignore, &lane_rules::ignore},
     {&lane_rules::gather, &lane_rules::ignore, &lane_rules::ignore, &lane_rules::ignore,
      &lane_rules::accept, &lane_rules::conflict, &lane_rules::fail}}};

namespace {

// The lane that knows the store's value `bucket` since `event`.
claim_lane known(claim_lane lane, claim_bucket bucket, const lane_event& event)
{
    lane.seen = seen_since(lane.known, lane.seen, bucket, event.now);
    lane.known = std::move(bucket);
    lane.known_since = event.now;
    lane.revision = event.revision;
    lane.fresh = true;
    return lane;
}

// The bucket's clock, carried on by the monotonic clock: it holds when this VM's time is behind.
wall_time clock_of(const claim_lane& lane, core::instant now)
{
    return lane.known.clock + std::chrono::floor<std::chrono::milliseconds>(now - lane.known_since);
}

// The lane as it is written on: without old claims, so that one that is made anew counts from then.
claim_lane pruned_lane(claim_lane lane, const lane_event& event, const claim_limits& limits)
{
    claim_bucket base = pruned(lane.known, lane.seen, event.now - limits.retention);
    base.clock = std::max(event.at, clock_of(lane, event.now));
    lane.seen = seen_since(lane.known, lane.seen, base, event.now);
    lane.known = std::move(base);
    lane.known_since = event.now;
    return lane;
}

} // namespace

lane_transition lane_rules::apply(claim_lane lane, const lane_event& event) const
{
    const auto handler = table::rows.at(static_cast<std::size_t>(lane.phase))
                             .at(static_cast<std::size_t>(event.kind));
    return (this->*handler)(std::move(lane), event);
}

lane_transition lane_rules::ignore(claim_lane lane, const lane_event& /*event*/) const
{
    return {std::move(lane), {}};
}

lane_transition lane_rules::start(claim_lane lane, const lane_event& event) const
{
    lane.waiting.push_back(event.wanted);
    return next_turn(std::move(lane), {});
}

lane_transition lane_rules::gather(claim_lane lane, const lane_event& event) const
{
    const auto same = [&](const claim& other) { return other.action == event.wanted.action; };
    const bool here =
        std::ranges::any_of(lane.waiting, same) || std::ranges::any_of(lane.in_flight, same);
    if (!here) {
        lane.waiting.push_back(event.wanted);
    }
    return {std::move(lane), {}};
}

lane_transition lane_rules::take_turn(claim_lane lane, const lane_event& event) const
{
    if (lane.fresh) {
        return write(std::move(lane), event);
    }
    lane.phase = lane_phase::reading;
    return {std::move(lane), {lane_effect{}}};
}

lane_transition lane_rules::learn(claim_lane lane, const lane_event& event) const
{
    // A store that went back has lost claims: what is absent may have run.
    if (event.revision < lane.highest_seen) {
        return given_up(std::move(lane));
    }
    lane.highest_seen = event.revision;
    return write(known(std::move(lane), event.bucket, event), event);
}

lane_transition lane_rules::write(claim_lane lane, const lane_event& event) const
{
    lane = pruned_lane(std::move(lane), event, limits_);
    claim_merge merged = merge(lane.known, lane.waiting, limits_);
    std::vector<lane_effect> effects;
    std::ranges::transform(merged.verdicts, std::back_inserter(effects), settle);
    lane.waiting.clear();
    if (merged.added.empty()) {
        return next_turn(std::move(lane), std::move(effects));
    }
    lane.phase = lane_phase::writing;
    lane.in_flight = std::move(merged.added);
    lane.written = merged.next;
    lane_effect request;
    request.kind = lane_effect_kind::write;
    request.bucket = std::move(merged.next);
    request.revision = lane.revision;
    effects.push_back(std::move(request));
    return {std::move(lane), std::move(effects)};
}

lane_transition lane_rules::accept(claim_lane lane, const lane_event& event) const
{
    std::vector<lane_effect> effects;
    std::ranges::transform(lane.in_flight, std::back_inserter(effects), [](const claim& added) {
        return settle({verdict_kind::bound, added, {}, {}});
    });
    lane.in_flight.clear();
    claim_bucket written = std::exchange(lane.written, {});
    lane = known(std::move(lane), std::move(written), event);
    lane.highest_seen = std::max(lane.highest_seen, event.revision);
    lane.failures = 0;
    lane.conflicts = 0;
    return next_turn(std::move(lane), std::move(effects));
}

lane_transition lane_rules::conflict(claim_lane lane, const lane_event& /*event*/) const
{
    ++lane.conflicts;
    return lane.conflicts >= limits_.max_conflicts ? given_up(std::move(lane))
                                                   : next_turn(recalled(std::move(lane)), {});
}

// The claims go into the next write again with their nonces, so that it does not matter whether
// the lost one takes effect before, after or never.
lane_transition lane_rules::fail(claim_lane lane, const lane_event& /*event*/) const
{
    ++lane.failures;
    return lane.failures >= limits_.max_failures ? given_up(std::move(lane))
                                                 : next_turn(recalled(std::move(lane)), {});
}

} // namespace ej::actions
