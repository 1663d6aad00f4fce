// Time of a review of the evidence against parts of prompts after an outage.
#include <suspects/independent_deaths_policy.h>
#include <suspects/part_table.h>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace ej::measure {

namespace {

using namespace std::chrono_literals;

constexpr core::instant start{1h};
constexpr int domains = 10;
constexpr int parts_per_death = 16;

/// `state.range(0)` endpoints die within a second; the requests there had parts of
/// `state.range(1)`.
void review_after_outage(benchmark::State& state)
{
    suspects::part_table table(std::make_unique<suspects::independent_deaths_policy>());
    std::mt19937_64 random(1);
    const auto parts = static_cast<std::uint64_t>(state.range(1));
    for (std::int64_t number = 0; number < state.range(0); ++number) {
        suspects::part_death one{
            {core::endpoint_id("endpoint-" + std::to_string(number)),
             core::incarnation_id("1764921600000")},
            core::failure_domain_id("domain" + std::to_string(number % domains)),
            {}};
        std::generate_n(std::back_inserter(one.parts), parts_per_death,
                        [&] { return suspects::part_digest(random() % parts); });
        std::ranges::sort(one.parts);
        const auto repeats = std::ranges::unique(one.parts);
        one.parts.erase(repeats.begin(), repeats.end());
        table.record_death(one, start + std::chrono::milliseconds(random() % 1'000));
    }
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(table.review(start + 2s));
    }
}

BENCHMARK(review_after_outage)
    ->Args({50, 200})
    ->Args({500, 2'000})
    ->Args({5'000, 16'000})
    ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace ej::measure

BENCHMARK_MAIN();
