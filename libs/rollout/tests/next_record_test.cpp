#include <rollout/next_record.h>

#include <rollout/trial_plan.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>

namespace ej::rollout {

namespace {

using std::chrono::seconds;

const rollout_limits limits;
const rollout_order order{core::service_id("llm"), core::version_id("v2"), seconds(20),
                          core::revision(5)};

rollout_view calm_view(core::duration since)
{
    rollout_view view;
    view.since_order = since;
    view.requests_per_second = 50;
    view.room = {100, 100};
    view.members = view.heard = 9;
    view.target_answers = 100;
    return view;
}

rollout_record record_of(rollout_phase phase, share to_target)
{
    return {order.revision, order.target, phase, to_target, 50, seconds(8), seconds(8), {}};
}

std::optional<rollout_record> after(const rollout_record& known, const rollout_view& view)
{
    return next_record(order, known, view, limits);
}

} // namespace

TEST_CASE("a trial begins once an endpoint of the target is there")
{
    auto view = calm_view(seconds(1));
    view.room.target = 0;
    CHECK_FALSE(next_record(order, std::nullopt, view, limits));
    view.room.target = 1;
    const auto first = next_record(order, std::nullopt, view, limits);
    REQUIRE(first);
    CHECK(first->phase == rollout_phase::trial);
    CHECK(first->to_target < whole_share / 2);
    CHECK(first->until == seconds(9));
}

TEST_CASE(
    "a trial ends after its time, with enough answers, without suspicion, and with reports of "
    "most daemons")
{
    const auto known = record_of(rollout_phase::trial, 160);
    const auto next = after(known, calm_view(seconds(9)));
    REQUIRE(next);
    CHECK(next->phase == rollout_phase::ramp);
    CHECK(next->to_target > 140); // Twice the share of the trial.
    CHECK(next->to_target < whole_share);
    CHECK_FALSE(after(known, calm_view(seconds(7))));
    auto view = calm_view(seconds(9));
    view.target_answers = 3;
    CHECK_FALSE(after(known, view));
    view = calm_view(seconds(9));
    view.suspicion = 0.6;
    CHECK_FALSE(after(known, view));
    view = calm_view(seconds(9));
    view.heard = 4;
    CHECK_FALSE(after(known, view));
    view = calm_view(seconds(9));
    view.room.target = 20;
    CHECK_FALSE(after(known, view));
}

TEST_CASE("a trial without enough good answers is rolled back when the order's time is over")
{
    auto view = calm_view(seconds(20));
    view.target_answers = 0;
    const auto next = after(record_of(rollout_phase::trial, 160), view);
    REQUIRE(next);
    CHECK(next->phase == rollout_phase::rolled_back);
    CHECK(next->to_target == 0);
}

TEST_CASE("a share doubles until all requests go to the target")
{
    const auto next = after(record_of(rollout_phase::ramp, 640), calm_view(seconds(10)));
    REQUIRE(next);
    CHECK(next->phase == rollout_phase::handover);
    CHECK(next->to_target == whole_share);
    CHECK_FALSE(after(record_of(rollout_phase::ramp, 640), calm_view(seconds(8))));
}

TEST_CASE("a roll-out succeeds when no daemon runs anything at other versions")
{
    const auto known = record_of(rollout_phase::handover, whole_share);
    auto view = calm_view(seconds(12));
    CHECK_FALSE(after(known, view));
    view.handed_over = true;
    const auto next = after(known, view);
    REQUIRE(next);
    CHECK(next->phase == rollout_phase::succeeded);
}

TEST_CASE("runs that cannot resume elsewhere keep other versions in use beyond the order's time")
{
    const auto known = record_of(rollout_phase::handover, whole_share);
    auto view = calm_view(seconds(60));
    CHECK_FALSE(after(known, view));
    view.may_resume = true;
    const auto next = after(known, view);
    REQUIRE(next);
    CHECK(next->phase == rollout_phase::succeeded);
}

TEST_CASE("nothing follows the end of a roll-out")
{
    for (const auto phase : {rollout_phase::succeeded, rollout_phase::rolled_back}) {
        auto view = calm_view(seconds(60));
        view.handed_over = true;
        CHECK_FALSE(after(record_of(phase, 0), view));
    }
}

TEST_CASE("a trial is expected to stay within its limits whatever the load and the time are")
{
    CHECK(rc::check("expected requests at the target", [] {
        const auto time = seconds(*rc::gen::inRange(1, 3'600));
        const double rate = *rc::gen::inRange(1, 100'000) / 10.0;
        const auto plan = plan_for(time, limits, rate);
        const auto whole = rate * std::chrono::duration<double>(time).count();
        const auto trial = rate * std::chrono::duration<double>(plan.trial).count();
        const double expected =
            (trial * plan.first + (whole - trial) * plan.later) / double(whole_share);
        RC_ASSERT(expected <= limits.share * whole + limits.requests);
        RC_ASSERT(plan.later <= plan.first);
        RC_ASSERT(plan.first <= plan.most);
    }));
}

} // namespace ej::rollout
