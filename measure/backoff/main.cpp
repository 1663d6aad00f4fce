// Compares ways to use endpoints that request a backoff (Retry-After), over modelled histories.
#include "backoff_fleet.h"
#include "history.h"
#include "run_figures.h"
#include "strategies.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <numeric>

namespace {

using namespace ej;
using namespace std::chrono_literals;

constexpr std::uint64_t seeds = 4;

constexpr std::array<measure::history, 13> histories{{
    {.name = "one of 8 warms up for 3 s", .warming = 1, .warming_time = 3s},
    {.name = "all warm up for 0.4 s", .warming = 8, .warming_time = 400ms},
    {.name = "all warm up for 3 s", .warming = 8, .warming_time = 3s},
    {.name = "load 0.95, Retry-After 0.2 s", .burst = 0.95, .retry_after = 200ms},
    {.name = "load 1.3, Retry-After 0.2 s", .burst = 1.3, .retry_after = 200ms},
    {.name = "load 1.3, Retry-After 1 s", .burst = 1.3, .retry_after = 1s},
    {.name = "load 2, Retry-After 1 s", .burst = 2, .retry_after = 1s},
    {.name = "long requests, load 0.95, Retry-After 0.2 s",
     .load = 0.95,
     .burst = 0.95,
     .retry_after = 200ms,
     .run_ms = 2'000},
    {.name = "long requests, load 1.3, Retry-After 1 s",
     .load = 0.95,
     .burst = 1.3,
     .retry_after = 1s,
     .run_ms = 2'000},
    {.name = "2 daemons, 32 slots, load 0.95, Retry-After 0.2 s",
     .burst = 0.95,
     .retry_after = 200ms,
     .daemons = 2,
     .slots = 32,
     .run_ms = 200},
    {.name = "2 daemons, 32 slots, load 1.3, Retry-After 1 s",
     .burst = 1.3,
     .retry_after = 1s,
     .daemons = 2,
     .slots = 32,
     .run_ms = 200},
    {.name = "2 daemons, 32 slots, all warm up for 0.4 s",
     .warming = 8,
     .warming_time = 400ms,
     .daemons = 2,
     .slots = 32,
     .run_ms = 200},
    {.name = "one request a daemon and endpoint, Retry-After 0.2 s",
     .retry_after = 200ms,
     .per_daemon = 1},
}};

double share(const measure::run_figures& of, double count)
{
    return 100 * count / of.asked;
}

} // namespace

int main()
{
    std::printf("| history | way | served | answer begins, mean / p95 ms | refusals to callers | "
                "turned away by endpoints | arrivals in a backoff: all, over 0.5 s after the "
                "answer | slots idle in the burst |\n|---|---|---|---|---|---|---|---|\n");
    for (const measure::history& chosen : histories) {
        for (const measure::named_strategy& one : measure::strategies()) {
            measure::run_figures sum;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                measure::backoff_fleet(chosen, *one.how, seed).run(sum);
            }
            auto& waits = sum.waits_ms;
            std::ranges::sort(waits);
            const double mean =
                std::accumulate(waits.begin(), waits.end(), 0.0) / double(waits.size());
            std::printf("| %s | %s | %.1f %% | %.0f / %.0f | %.1f %% | %.1f %% | %.0f, %.0f | "
                        "%.1f %% |\n",
                        chosen.name.data(), one.name.data(), share(sum, sum.served), mean,
                        waits[waits.size() * 95 / 100], share(sum, sum.refused),
                        share(sum, sum.turned_away), sum.inside / seeds, sum.late_inside / seeds,
                        100 * sum.idle / seeds);
        }
    }
    return 0;
}
