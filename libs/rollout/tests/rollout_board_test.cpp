#include <rollout/rollout_board.h>
#include <rollout/rollout_report.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace ej::rollout {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};
const core::service_id service("llm");
const core::version_id target("v2");
const core::version_id other("v1");

rollout_order order_at(std::uint64_t revision)
{
    return {service, target, seconds(16), core::revision(revision)};
}

rollout_record record_for(std::uint64_t order, rollout_phase phase)
{
    return {core::revision(order), target, phase, 100, 50, seconds(4), seconds(2), {}};
}

} // namespace

TEST_CASE("an older order, record or removal changes nothing")
{
    rollout_board board;
    CHECK(board.put_order(order_at(5), start));
    CHECK_FALSE(board.put_order(order_at(4), start));
    board.remove_order(service, core::revision(3));
    REQUIRE(board.of(service)->order);
    CHECK(board.put_record(service, record_for(5, rollout_phase::ramp), core::revision(8), start));
    CHECK_FALSE(
        board.put_record(service, record_for(5, rollout_phase::trial), core::revision(7), start));
    board.remove_record(service, core::revision(6));
    CHECK(board.of(service)->record->phase == rollout_phase::ramp);
}

TEST_CASE("a daemon that starts late takes the age of an order from its record")
{
    rollout_board board;
    board.put_order(order_at(5), start);
    board.put_record(service, record_for(5, rollout_phase::trial), core::revision(8), start);
    CHECK(board.of(service)->began == start - seconds(2));
}

TEST_CASE("a listing removes the orders and records that it lacks, but none that are newer")
{
    rollout_board board;
    board.put_order(order_at(5), start);
    board.put_record(service, record_for(5, rollout_phase::trial), core::revision(8), start);
    board.retain({}, {}, core::revision(7));
    CHECK_FALSE(board.of(service)->order);
    CHECK(board.of(service)->record);
}

TEST_CASE("answers count for the open order alone, by version")
{
    rollout_board board;
    board.record({service, target, "r", answer_measure::whole, milliseconds(10)});
    CHECK(board.answers_of(service, start).empty());
    board.put_order(order_at(5), start);
    board.record({service, target, "r", answer_measure::whole, milliseconds(10)});
    board.record({service, other, "r", answer_measure::failure, {}});
    auto seen = board.answers_of(service, start);
    CHECK(seen["r"].target.whole.total() == 1);
    CHECK(seen["r"].others.failed == 1);
    board.put_order(order_at(9), start);
    CHECK(board.answers_of(service, start).empty());
}

TEST_CASE("a request without output counts as awaited until its sample is released")
{
    rollout_board board;
    board.put_order(order_at(5), start);
    auto sample = board.await(service, target, "r", start);
    CHECK(board.answers_of(service, start + seconds(3))["r"].target.awaited.above(
              latency_counts::bucket_of(seconds(2))) == 1);
    auto moved = std::move(sample);
    moved.release();
    CHECK(board.answers_of(service, start + seconds(3))["r"].target.awaited.total() == 0);
}

TEST_CASE("a request that is awaited across two orders counts for its version")
{
    rollout_board board;
    board.put_order(order_at(5), start);
    const auto sample = board.await(service, other, "r", start);
    auto back = order_at(9);
    back.target = other;
    board.put_order(back, start);
    const auto seen = board.answers_of(service, start);
    CHECK(seen.at("r").target.awaited.total() == 1);
    CHECK(seen.at("r").others.awaited.total() == 0);
}

TEST_CASE("roll-outs of two services do not touch each other")
{
    rollout_board board;
    board.put_order(order_at(5), start);
    auto second = order_at(6);
    second.service = core::service_id("app");
    board.put_order(second, start);
    board.put_record(service, record_for(5, rollout_phase::rolled_back), core::revision(8), start);
    board.record({second.service, target, "r", answer_measure::failure, {}});
    CHECK(board.open() == std::vector{second.service});
    CHECK(board.answers_of(service, start).empty());
    CHECK_FALSE(board.of(second.service)->record);
}

TEST_CASE("more routes than a report holds are counted as one")
{
    rollout_board board;
    board.put_order(order_at(5), start);
    for (std::size_t number = 0; number < 2 * rollout_report::max_routes; ++number) {
        board.record({service, target, std::to_string(number), answer_measure::failure, {}});
    }
    const auto seen = board.answers_of(service, start);
    CHECK(seen.size() <= rollout_report::max_routes);
    std::uint64_t failed = 0;
    for (const auto& [route, answers] : seen) {
        failed += answers.target.failed;
    }
    CHECK(failed == 2 * rollout_report::max_routes);
}

} // namespace ej::rollout
