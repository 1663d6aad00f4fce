#include <rollout/rollout_state.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <vector>

namespace ej::rollout {

namespace {

using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};
const core::version_id target("v2");
const core::version_id other("v1");

rollout_state ordered()
{
    rollout_state state;
    state.order = rollout_order{core::service_id("llm"), target, seconds(16), core::revision(5)};
    state.order_revision = core::revision(5);
    state.began = start;
    return state;
}

rollout_state in_phase(rollout_phase phase, share to_target)
{
    auto state = ordered();
    state.record =
        rollout_record{core::revision(5), target, phase, to_target, 50, seconds(4), {}, {}};
    return state;
}

core::endpoint endpoint_of(const std::string& name, const core::version_id& version)
{
    core::endpoint made;
    made.name = core::endpoint_id(name);
    made.version = version;
    return made;
}

} // namespace

TEST_CASE("without an order all versions are equal")
{
    const auto rule = rollout_state().rule_for(0, start);
    CHECK(rule.prefers(target));
    CHECK(rule.prefers(other));
}

TEST_CASE("an order without a record keeps requests away from its target")
{
    const auto rule = ordered().rule_for(0, start);
    CHECK_FALSE(rule.prefers(target));
    CHECK(rule.prefers(other));
    CHECK(rule.fallback == version_fallback::if_none_listed);
}

TEST_CASE("a record of an earlier order says nothing of the present one")
{
    auto state = in_phase(rollout_phase::handover, whole_share);
    state.order->revision = core::revision(9);
    CHECK(state.to_target(start) == 0);
    CHECK_FALSE(state.rule_for(0, start).prefers(target));
}

TEST_CASE("the share of a trial falls when its time is over")
{
    auto state = in_phase(rollout_phase::trial, 350);
    CHECK(state.to_target(start + seconds(3)) == 50); // The load is not known yet.
    state.trial_share = 160;
    CHECK(state.to_target(start + seconds(3)) == 160);
    CHECK(state.to_target(start + seconds(5)) == 50);
    CHECK(state.rule_for(159, start).prefers(target));
    CHECK_FALSE(state.rule_for(160, start).prefers(target));
}

TEST_CASE("a rejected target gets nothing in any phase that is not final")
{
    for (const auto phase : {rollout_phase::trial, rollout_phase::ramp, rollout_phase::handover}) {
        auto state = in_phase(phase, whole_share);
        state.rejected_order = core::revision(5);
        const auto rule = state.rule_for(0, start);
        CHECK_FALSE(rule.prefers(target));
        CHECK_FALSE(rule.keeps(target));
        CHECK_FALSE(rule.allows_others());
    }
}

TEST_CASE("a target that was rolled back gets nothing even if no other endpoint is registered")
{
    const auto rule = in_phase(rollout_phase::rolled_back, 0).rule_for(0, start);
    CHECK_FALSE(rule.prefers(target));
    CHECK_FALSE(rule.allows_others());
}

TEST_CASE("an order that is withdrawn before its end takes its target out of use")
{
    auto state = in_phase(rollout_phase::ramp, 500);
    state.order.reset();
    CHECK_FALSE(state.rule_for(0, start).prefers(target));
    state = in_phase(rollout_phase::succeeded, whole_share);
    state.order.reset();
    CHECK(state.rule_for(whole_share - 1, start).prefers(target));
}

TEST_CASE("a trial uses as many endpoints of the target as its share needs")
{
    std::vector<core::endpoint> all;
    all.reserve(20);
    for (int number = 0; number < 20; ++number) {
        all.push_back(endpoint_of("a" + std::to_string(number), number % 2 == 0 ? target : other));
    }
    auto trial = in_phase(rollout_phase::trial, 350);
    trial.trial_share = 160;
    const auto rule = trial.rule_for(0, start);
    CHECK(preferred_of(all, rule).size() == 2);
    CHECK(others_of(all, rule).size() == 10);
    CHECK(preferred_of(all, in_phase(rollout_phase::ramp, 160).rule_for(0, start)).size() == 10);
    CHECK(preferred_of({}, rule).empty());
}

} // namespace ej::rollout
