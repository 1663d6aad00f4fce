#include <rollout/deciders.h>
#include <rollout/evidence_table.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace ej::rollout {

namespace {

using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};
const core::revision order(5);

/// Report `number` of the run `boot` of `vm`, with `failed` answers.
rollout_report report_of(const std::string& vm, std::uint64_t boot, std::uint64_t number,
                         std::uint32_t failed)
{
    rollout_report made;
    made.from = core::vm_id(vm);
    made.start = boot;
    made.number = number;
    made.order = order;
    made.to_target = whole_share;
    made.answers["r"].target.failed = failed;
    return made;
}

std::uint32_t failed_in(const evidence_table& table)
{
    return table.total(start)["r"].target.failed;
}

} // namespace

TEST_CASE("reports that arrive twice or out of order count once")
{
    evidence_table table;
    for (const std::uint32_t number : {3U, 5U, 5U, 3U}) {
        table.apply(report_of("a", 1, number, number), order, start);
    }
    CHECK(failed_in(table) == 5);
}

TEST_CASE("a late report with as many answers does not hide a run at another version")
{
    evidence_table table;
    table.apply(report_of("a", 1, 1, 5), order, start);
    auto busy = report_of("a", 1, 2, 5);
    busy.runs_elsewhere = 1;
    table.apply(busy, order, start);
    table.apply(report_of("a", 1, 1, 5), order, start);
    CHECK(table.runs_elsewhere(start) == 1);
}

TEST_CASE("what a daemon saw before its restart still counts, and late reports of that run do not")
{
    evidence_table table;
    table.apply(report_of("a", 1, 9, 5), order, start);
    table.apply(report_of("a", 2, 1, 1), order, start);
    table.apply(report_of("a", 1, 9, 5), order, start);
    CHECK(failed_in(table) == 6);
}

TEST_CASE("a daemon that restarts after its clock was set back is heard")
{
    evidence_table table;
    table.apply(report_of("a", 7, 1, 5), order, start);
    table.apply(report_of("a", 3, 1, 2), order, start + seconds(9));
    CHECK(failed_in(table) == 7);
    CHECK(table.heard_of({core::vm_id("a")}, start + seconds(9)) == 1);
}

TEST_CASE("a request that a daemon awaited when it ended is not awaited any more")
{
    evidence_table table;
    auto waiting = report_of("a", 1, 1, 0);
    waiting.answers["r"].target.awaited.count.at(20) = 3;
    table.apply(waiting, order, start);
    SECTION("the daemon has restarted")
    {
        table.apply(report_of("a", 2, 1, 0), order, start);
        CHECK(table.total(start)["r"].target.awaited.total() == 0);
    }
    SECTION("the daemon is silent")
    {
        CHECK(table.total(start)["r"].target.awaited.total() == 3);
        CHECK(table.total(start + seconds(3))["r"].target.awaited.total() == 0);
    }
}

TEST_CASE("reports on another order do not count")
{
    evidence_table table;
    table.apply(report_of("a", 1, 1, 5), order, start);
    auto earlier = report_of("b", 1, 1, 7);
    earlier.order = core::revision(4);
    table.apply(earlier, order, start);
    CHECK(failed_in(table) == 5);
    table.apply(report_of("a", 1, 2, 9), core::revision(6), start);
    CHECK(failed_in(table) == 0);
}

TEST_CASE("a hand-over needs every daemon that is heard of, not those that are silent")
{
    evidence_table table;
    const std::vector<core::vm_id> members{core::vm_id("a"), core::vm_id("b")};
    auto busy = report_of("b", 1, 1, 0);
    busy.runs_elsewhere = 1;
    table.apply(report_of("a", 1, 1, 0), order, start);
    table.apply(busy, order, start);
    CHECK_FALSE(table.handed_over(whole_share, start));
    CHECK(table.runs_elsewhere(start) == 1);
    table.apply(report_of("a", 1, 2, 1), order, start + seconds(3));
    CHECK(table.handed_over(whole_share, start + seconds(3)));
    CHECK(table.heard_of(members, start + seconds(3)) == 1);
}

TEST_CASE("a decider that has just started waits for the other daemons before a hand-over")
{
    evidence_table table;
    table.apply(report_of("a", 1, 1, 0), order, start);
    CHECK_FALSE(table.handed_over(whole_share, start));
    table.apply(report_of("a", 1, 2, 0), order, start + seconds(1));
    table.apply(report_of("a", 1, 3, 0), order, start + seconds(2));
    CHECK(table.handed_over(whole_share, start + seconds(2)));
}

TEST_CASE("all daemons find the same deciders, and another one when a decider is gone")
{
    std::vector<core::vm_id> members;
    members.reserve(20);
    for (int number = 0; number < 20; ++number) {
        members.emplace_back("vm-" + std::to_string(number));
    }
    const core::service_id service("llm");
    const auto chosen = deciders_for(service, members);
    REQUIRE(chosen.size() == decider_count);
    std::ranges::reverse(members);
    CHECK(deciders_for(service, members) == chosen);
    std::erase(members, chosen.front());
    CHECK(deciders_for(service, members).front() == chosen[1]);
    CHECK(deciders_for(service, {core::vm_id("only")}).size() == 1);
}

} // namespace ej::rollout
