// Compares ways to place generations while load is at its worst, over modelled load patterns.
#include "generation_figures.h"
#include "generation_fleet.h"
#include "load_pattern.h"
#include "load_patterns.h"
#include "placement_way.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>

namespace {

using namespace ej;

constexpr std::uint64_t seeds = 4;

constexpr std::array<measure::placement_way, 6> ways{{
    {"round robin, at once", "at_once", "round_robin", false},
    {"fewest requests, at once", "at_once", "fewest_requests", false},
    {"first output, at once", "at_once", "first_output", false},
    {"by memory, copies as before", "memory", "first_output", false},
    {"by memory, by arrival", "memory", "first_output", true, false},
    {"by memory, fair", "memory", "first_output", true, true},
}};

double at(std::vector<double>& values, double part)
{
    std::ranges::sort(values);
    return values.empty() ? 0 : values[static_cast<std::size_t>(part * double(values.size() - 1))];
}

} // namespace

int main()
{
    std::printf(
        "| load pattern | way | on time | late | refused | failed | refusals | sends | prompt "
        "tokens read in vain, thousands | measured / forecast first output, p50, p95 |\n"
        "|---|---|---|---|---|---|---|---|---|---|\n");
    for (const measure::load_pattern& pattern : measure::load_patterns) {
        for (const measure::placement_way& way : ways) {
            measure::generation_figures sum;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                auto one = measure::generation_fleet(pattern, way, seed).run();
                sum.asked += one.asked;
                sum.on_time += one.on_time;
                sum.late += one.late;
                sum.refused += one.refused;
                sum.failed += one.failed;
                sum.refusals += one.refusals;
                sum.sends += one.sends;
                sum.read_in_vain += one.read_in_vain;
                sum.forecast_errors.insert(sum.forecast_errors.end(), one.forecast_errors.begin(),
                                           one.forecast_errors.end());
            }
            std::printf("| %s | %s | %.1f %% | %.1f %% | %.1f %% | %.1f %% | %.0f | %zu | %.0f | "
                        "%.2f, %.2f |\n",
                        pattern.name.data(), way.name.data(), 100 * sum.share(sum.on_time),
                        100 * sum.share(sum.late), 100 * sum.share(sum.refused),
                        100 * sum.share(sum.failed), sum.refusals / seeds, sum.sends / seeds,
                        sum.read_in_vain / seeds, at(sum.forecast_errors, 0.5),
                        at(sum.forecast_errors, 0.95));
        }
    }
    return 0;
}
