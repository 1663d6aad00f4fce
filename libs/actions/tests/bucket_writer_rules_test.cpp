#include <actions/bucket_writer_rules.h>
#include <actions/call_rate_limit.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

namespace ej::actions {

namespace {

using namespace std::chrono_literals;

const owner self{core::incarnation_id("a"), {"127.0.0.1", 1}};

bucket_writer_event event_of(bucket_writer_event_kind kind, std::uint64_t revision = 0)
{
    bucket_writer_event event;
    event.kind = kind;
    event.revision = core::revision(revision);
    return event;
}

bucket_writer_event wanted(std::uint64_t action)
{
    bucket_writer_event event = event_of(bucket_writer_event_kind::claim_wanted);
    event.wanted = {{0, action}, self, claim_nonce(action), wall_time{}};
    return event;
}

bucket_writer_transition play(bucket_writer writer, const std::vector<bucket_writer_event>& events)
{
    bucket_writer_transition last{std::move(writer), {}};
    for (const bucket_writer_event& event : events) {
        last = bucket_writer_rules(claim_limits{}).apply(std::move(last.next), event);
    }
    return last;
}

} // namespace

TEST_CASE("claims that wait for one bucket are sent in one write")
{
    const auto started =
        play({}, {wanted(1), wanted(2), event_of(bucket_writer_event_kind::call_due), wanted(3)});
    const auto writing = play(started.next, {event_of(bucket_writer_event_kind::read_answered)});
    REQUIRE(writing.effects.size() == 1);
    CHECK(writing.effects.front().bucket.entries.size() == 3);
    const auto accepted =
        play(writing.next, {event_of(bucket_writer_event_kind::write_accepted, 1)});
    CHECK(std::ranges::all_of(accepted.effects, [](const bucket_writer_effect& effect) {
        return effect.verdict.kind == verdict_kind::bound;
    }));
    CHECK(accepted.effects.size() == 3);
}

TEST_CASE("a second write needs no read and keeps the claims of the first one")
{
    const auto writing = play({}, {wanted(1), event_of(bucket_writer_event_kind::call_due),
                                   event_of(bucket_writer_event_kind::read_answered),
                                   event_of(bucket_writer_event_kind::write_accepted, 1), wanted(2),
                                   event_of(bucket_writer_event_kind::call_due)});
    REQUIRE(writing.effects.size() == 1);
    CHECK(writing.effects.front().kind == bucket_writer_effect_kind::write);
    CHECK(writing.effects.front().revision == core::revision(1));
    CHECK(writing.effects.front().bucket.entries.size() == 2);
}

TEST_CASE("no claim is bound when the store returns an older revision")
{
    const auto given_up = play({}, {wanted(1), event_of(bucket_writer_event_kind::call_due),
                                    event_of(bucket_writer_event_kind::read_answered, 8),
                                    event_of(bucket_writer_event_kind::write_accepted, 9),
                                    wanted(2), event_of(bucket_writer_event_kind::call_due),
                                    event_of(bucket_writer_event_kind::write_refused),
                                    event_of(bucket_writer_event_kind::call_due),
                                    event_of(bucket_writer_event_kind::read_answered, 8)});
    REQUIRE(given_up.effects.size() == 1);
    CHECK(given_up.effects.front().kind == bucket_writer_effect_kind::settle);
    CHECK(given_up.effects.front().verdict.kind == verdict_kind::failed);
}

TEST_CASE("calls are not delayed up to the burst, then spaced by the interval")
{
    call_rate_limit limit{10ms, 2, {}};
    const core::instant now(1h);
    std::vector<core::duration> waits;
    for (int call = 0; call < 4; ++call) {
        limit = with_call(limit, now);
        waits.push_back(std::max<core::duration>(latest_call_time(limit) - now, 0ms));
    }
    CHECK(waits == std::vector<core::duration>{0ms, 0ms, 10ms, 20ms});
}

} // namespace ej::actions
