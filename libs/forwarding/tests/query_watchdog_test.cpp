#include <forwarding/query_watchdog.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <chrono>

namespace ej::forwarding {

namespace {

using namespace std::chrono_literals;

const core::instant start{1h};
constexpr auto wait_for_changes = 200ms;
constexpr auto round_trip = 50ms;

/// The time from the return of a silent store to the answer of a query. Each query is given up
/// after `given_up_after`; probes and queries that were sent before the return are never answered.
core::duration lag_after(core::duration outage, core::duration given_up_after, double draw)
{
    query_watchdog watchdog(draw);
    const auto back_at = start + outage;
    auto query_at = start;
    auto probe_at = core::instant::min();
    watchdog.record_query(query_at, wait_for_changes);
    for (auto now = start;; now += 1ms) {
        if (query_at >= back_at && now >= query_at + round_trip) {
            return now - back_at;
        }
        if (probe_at >= back_at && now == probe_at + round_trip) {
            watchdog.record_probe_answer();
        }
        if (now >= watchdog.next_query()) {
            query_at = now;
            watchdog.record_repeat(now);
        }
        if (now >= query_at + given_up_after) {
            query_at = now;
            watchdog.record_query(now, wait_for_changes);
        }
        if (now >= watchdog.next_probe()) {
            probe_at = now;
            watchdog.record_probe(now);
        }
    }
}

} // namespace

TEST_CASE("a query that is answered in time causes no probe and is not repeated")
{
    query_watchdog watchdog(0);
    watchdog.record_query(start, wait_for_changes);
    CHECK(watchdog.next_probe() > start + wait_for_changes);
    CHECK(watchdog.next_query() == core::instant::max());
    watchdog.record_answer();
    CHECK(watchdog.next_probe() == core::instant::max());
    CHECK(watchdog.next_query() == core::instant::max());
}

TEST_CASE("a sign of life repeats only a query that is hung and only once")
{
    query_watchdog watchdog(0.5);
    watchdog.record_query(start, wait_for_changes);
    watchdog.record_newer_state();
    CHECK(watchdog.next_query() == start + wait_for_changes + query_watchdog::patience);
    watchdog.record_repeat(watchdog.next_query());
    CHECK(watchdog.next_query() == core::instant::max());
}

TEST_CASE("a long answer of a store that answers probes is asked for three times in six seconds")
{
    query_watchdog watchdog(0);
    watchdog.record_query(start, 0s);
    int queries = 1;
    for (auto now = start; now < start + 6s; now += 1ms) {
        if (now >= watchdog.next_probe()) {
            watchdog.record_probe(now);
            watchdog.record_probe_answer();
        }
        if (now >= watchdog.next_query()) {
            watchdog.record_repeat(now);
            ++queries;
        }
    }
    CHECK(queries == 3);
}

TEST_CASE("probes of daemons that lost the store together are spread over an interval")
{
    query_watchdog first(0);
    query_watchdog second(0.5);
    first.record_query(start, 0s);
    second.record_query(start, 0s);
    CHECK(second.next_probe() - first.next_probe() == query_watchdog::probe_interval / 2);
}

TEST_CASE("after any outage a query is answered within a second of the store's return")
{
    rc::prop("lag", [] {
        const std::chrono::milliseconds outage(*rc::gen::inRange(0, 60'000));
        const std::chrono::milliseconds given_up_after(*rc::gen::inRange(800, 10'000));
        const double draw = *rc::gen::inRange(0, 100) / 100.0;
        RC_ASSERT(lag_after(outage, given_up_after, draw) <= 1s);
    });
}

} // namespace ej::forwarding
