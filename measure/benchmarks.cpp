#include <admission/class_queues.h>
#include <admission/predicted_finish.h>
#include <fairness/max_min_share.h>
#include <limits/spare_share.h>
#include <routing/endpoint_pools.h>
#include <routing/least_loaded.h>
#include <routing/two_choices.h>
#include <suspects/isolate_then_refuse_policy.h>
#include <suspects/suspect_table.h>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace ej::measure {

namespace {

using namespace std::chrono_literals;

const core::service_id service("model");
const routing::reachable_domains local{core::failure_domain_id("recife"), {}};
const core::class_id class_name("summary");
const admission::capacity capacity{1e6, 100, 1'000};
constexpr core::instant now{100s};

template <class Router>
void choose_and_release(benchmark::State& state)
{
    routing::endpoint_pools pools(std::make_unique<Router>(),
                                  std::make_unique<limits::spare_share>());
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        core::endpoint added;
        added.name = core::endpoint_id("engine" + std::to_string(number));
        added.domain = local.local;
        added.service = service;
        added.slots = 8;
        pools.add(added, core::instant{});
    }
    const routing::request_features request{100, 0, false, now + 60s};
    std::uint64_t seed = 0;
    while (state.KeepRunning()) {
        const auto where = pools.acquire(service, local, request, ++seed, now);
        pools.release(*where, {routing::outcome_kind::finished, 100, 1s}, now);
    }
    state.SetItemsProcessed(state.iterations());
}

// Grants one of `waiting` queued requests of `workspaces` workspaces and submits a new one.
void grant_and_submit(benchmark::State& state)
{
    const std::int64_t waiting = state.range(0);
    const std::int64_t workspaces = state.range(1);
    admission::class_queues queues(std::make_shared<admission::predicted_finish>(),
                                   std::make_shared<fairness::max_min_share>());
    core::work_class made;
    made.name = class_name;
    made.service = service;
    made.target.max_waiting = 200'000;
    queues.set_classes({made});
    std::int64_t number = 0;
    const auto submit = [&] {
        const fairness::queued_request queued{
            core::request_id(std::to_string(number)),
            core::workspace_id(std::to_string(number % workspaces)), 10, now, now + 1h};
        ++number;
        return queues.submit(class_name, queued, capacity, now);
    };
    while (number < waiting) {
        benchmark::DoNotOptimize(submit());
    }
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(queues.next(service, admission::room::any, capacity, now));
        benchmark::DoNotOptimize(submit());
    }
    state.SetItemsProcessed(state.iterations());
}

void judge(benchmark::State& state)
{
    suspects::suspect_table table(std::make_unique<suspects::isolate_then_refuse_policy>());
    const auto known = static_cast<std::uint64_t>(std::max<std::int64_t>(state.range(0), 1));
    for (std::uint64_t number = 0; number < known; ++number) {
        const suspects::death_id death{core::endpoint_id(std::to_string(number)),
                                       core::incarnation_id("1")};
        table.record_death({death, {suspects::request_digest(number)}}, now);
    }
    std::uint64_t number = 0;
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(
            table.evaluate(suspects::request_digest(++number % (2 * known)), now));
    }
    state.SetItemsProcessed(state.iterations());
}

BENCHMARK(choose_and_release<routing::two_choices>)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(choose_and_release<routing::least_loaded>)->RangeMultiplier(10)->Range(10, 10'000);
BENCHMARK(grant_and_submit)
    ->Args({1'000, 10})
    ->Args({10'000, 10})
    ->Args({100'000, 10})
    ->Args({100'000, 100})
    ->Args({100'000, 2'000})
    ->Args({10'000, 2'000});
BENCHMARK(judge)->RangeMultiplier(10)->Range(10, 10'000);

} // namespace

} // namespace ej::measure

BENCHMARK_MAIN();
