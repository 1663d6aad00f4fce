// Replays roll-outs of good and bad versions, with several ways to find the bad ones.
#include "rollout_figures.h"
#include "rollout_load.h"
#include "rollout_replay.h"
#include "rollout_ways.h"
#include "version_faults.h"

#include <rollout/rollout_limits.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace {

using namespace ej;

constexpr std::uint64_t default_seeds = 100;

constexpr std::array<std::size_t, 3> fleets{3, 72, 300};
constexpr double requests_per_second_per_daemon = 0.8;
constexpr double least_requests_per_second = 20;

double in_s(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

double at(std::vector<double>& values, double part)
{
    std::ranges::sort(values);
    return values.empty() ? 0 : values[static_cast<std::size_t>(part * double(values.size() - 1))];
}

void print_row(std::size_t daemons, const measure::version_fault& fault,
               const measure::rollout_way& way, std::uint64_t seeds)
{
    measure::rollout_load load;
    load.daemons = daemons;
    load.requests_per_second =
        std::max(requests_per_second_per_daemon * double(daemons), least_requests_per_second);
    std::uint64_t succeeded = 0;
    std::uint64_t rolled_back = 0;
    std::uint64_t overexposed = 0;
    std::vector<double> exposed;
    std::vector<double> ended;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto seen = measure::rollout_replay(load, fault, way, seed).run();
        const rollout::rollout_limits limits;
        succeeded += seen.phase == rollout::rollout_phase::succeeded && seen.ended <= load.time;
        rolled_back += seen.phase == rollout::rollout_phase::rolled_back ? 1 : 0;
        overexposed += seen.within(limits.share, limits.requests) ? 0 : 1;
        exposed.push_back(double(seen.exposed) / double(seen.requests));
        ended.push_back(in_s(seen.ended));
    }
    std::printf("| %zu | %s | %s | %llu | %llu | %llu | %.1f %%, %.1f %% | %.1f, %.1f |\n", daemons,
                fault.name.data(), way.name.data(), static_cast<unsigned long long>(succeeded),
                static_cast<unsigned long long>(rolled_back),
                static_cast<unsigned long long>(overexposed), 100 * at(exposed, 0.5),
                100 * at(exposed, 0.95), at(ended, 0.5), at(ended, 0.95));
}

} // namespace

int main(int count, char** arguments)
{
    const auto seeds =
        count > 1 ? std::strtoull(arguments[1], nullptr, 10) : default_seeds; // NOLINT
    std::printf("| daemons | version | way | succeeded in time | rolled back | beyond the limits | "
                "exposed p50, p95 | ended s p50, p95 |\n|---|---|---|---|---|---|---|---|\n");
    for (const auto daemons : fleets) {
        for (const auto& fault : measure::version_faults) {
            for (const auto& way : measure::rollout_ways) {
                print_row(daemons, fault, way, seeds);
            }
        }
    }
    return 0;
}
