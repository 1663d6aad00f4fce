#include "memory.h"

#include <placement/greedy_placement.h>
#include <placement/steady_placement.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

namespace ej::placement {

namespace {

constexpr auto interval = std::chrono::seconds(5);

placement_inputs make_inputs(std::size_t engines, const std::vector<double>& demands)
{
    placement_inputs inputs;
    for (std::size_t n = 0; n < engines; ++n) {
        inputs.engines.push_back({core::endpoint_id(std::to_string(100 + n)), 250, {}});
    }
    for (std::size_t n = 0; n < demands.size(); ++n) {
        const model_id name(std::to_string(n));
        inputs.models.push_back({name, 100});
        inputs.demands.push_back({name, demands[n]});
    }
    return inputs;
}

std::vector<double> draw_demands()
{
    return *rc::gen::container<std::vector<double>>(
        3, rc::gen::map(rc::gen::inRange(0, 300), [](int percent) { return percent / 100.0; }));
}

placement_settings slow_store()
{
    placement_settings settings;
    settings.store_megabytes_per_second = 10;
    settings.store_burst_megabytes = 300;
    return settings;
}

/// Number of assignments removed before the minimum time while all engines stay.
std::size_t early_removals(placement_strategy& strategy,
                           const std::vector<std::vector<double>>& demand_series)
{
    core::instant now{std::chrono::hours(1)};
    plan current;
    std::size_t early = 0;
    for (const auto& demands : demand_series) {
        const auto next = strategy.next(current, make_inputs(6, demands), now);
        early += static_cast<std::size_t>(
            std::ranges::count_if(current.assignments, [&](const assignment& one) {
                return !next.models_of(one.engine).contains(one.model) &&
                       now - one.since < placement_settings{}.min_placement_time;
            }));
        current = next;
        now += interval;
    }
    return early;
}

} // namespace

TEST_CASE("a plan respects memory, the store's rate and the minimum time under any demand")
{
    rc::prop("limits hold at each step", [] {
        const auto steps = *rc::gen::inRange(1, 60);
        steady_placement strategy(slow_store());
        core::instant now{std::chrono::hours(1)};
        plan current;
        std::uint64_t loaded = 0;
        for (int step = 0; step < steps; ++step) {
            const auto inputs = make_inputs(4, draw_demands());
            const auto next = strategy.next(current, inputs, now);
            for (const auto& host : inputs.engines) {
                RC_ASSERT(next.models_of(host.name).size() * 100 <= host.megabytes);
            }
            for (const auto& one : next.assignments) {
                loaded += current.models_of(one.engine).contains(one.model) ? 0 : 100;
            }
            for (const auto& one : current.assignments) {
                RC_ASSERT(next.models_of(one.engine).contains(one.model) ||
                          now - one.since >= placement_settings{}.min_placement_time);
            }
            RC_ASSERT(loaded <= 300 + 10 * static_cast<std::uint64_t>(step * interval.count()));
            current = next;
            now += interval;
        }
    });
}

TEST_CASE("oscillating demand does not make steady placement remove models early")
{
    std::vector<std::vector<double>> demand_series;
    demand_series.reserve(200);
    for (int step = 0; step < 200; ++step) {
        demand_series.push_back(step % 2 == 0 ? std::vector{1.1, 0.9} : std::vector{0.9, 1.1});
    }
    steady_placement steady;
    greedy_placement greedy;
    CHECK(early_removals(steady, demand_series) == 0);
    CHECK(early_removals(greedy, demand_series) > 100);
}

TEST_CASE("constant demand within capacity is met and the plan then does not change")
{
    rc::prop("each model has enough replicas for its demand", [] {
        const auto demands = draw_demands();
        const auto inputs = make_inputs(14, demands);
        steady_placement strategy;
        core::instant now{std::chrono::hours(1)};
        plan current;
        for (int step = 0; step < 100; ++step) {
            current = strategy.next(current, inputs, now);
            now += interval;
        }
        for (const auto& one : inputs.models) {
            const auto demanded = demand_for(one.name, inputs);
            RC_ASSERT(static_cast<double>(current.replicas_of(one.name)) >= demanded);
        }
        RC_ASSERT(strategy.next(current, inputs, now) == current);
    });
}

TEST_CASE("a new holder starts from what the engines have loaded")
{
    auto inputs = make_inputs(2, {0.5, 0.0});
    inputs.engines[1].loaded = {model_id("0"), model_id("1")};
    steady_placement strategy;
    const auto result = strategy.next({}, inputs, core::instant(std::chrono::hours(1)));
    CHECK(result.models_of(inputs.engines[1].name) == inputs.engines[1].loaded);
}

} // namespace ej::placement
