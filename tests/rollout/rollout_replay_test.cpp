#include <rollout_figures.h>
#include <rollout_load.h>
#include <rollout_replay.h>
#include <rollout_ways.h>
#include <version_faults.h>

#include <rollout/rollout_limits.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace ej::measure {

namespace {

constexpr std::uint64_t seeds = 10;
constexpr rollout::rollout_limits limits{};

const version_fault& fault_named(std::string_view name)
{
    return *std::ranges::find(version_faults, name, &version_fault::name);
}

rollout_figures replay(const version_fault& fault, std::uint64_t seed,
                       const rollout_load& load = {})
{
    return rollout_replay(load, fault, rollout_ways.back(), seed).run();
}

/// The number of replays in which a version with `fault` is rolled back before it gets more than
/// its limits.
std::uint64_t caught(std::string_view fault)
{
    std::uint64_t count = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto seen = replay(fault_named(fault), seed);
        const bool in_time = seen.phase == rollout::rollout_phase::rolled_back &&
                             seen.within(limits.share, limits.requests);
        count += in_time ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a good version takes all traffic within the order's time")
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto seen = replay(fault_named("good"), seed);
        CHECK(seen.phase == rollout::rollout_phase::succeeded);
        CHECK(seen.ended <= rollout_load().time);
    }
}

TEST_CASE("a good version is not rolled back while both versions lose answers in waves")
{
    rollout_load load;
    load.crash_wave = 0.3;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CHECK(replay(fault_named("good"), seed, load).phase != rollout::rollout_phase::rolled_back);
    }
}

TEST_CASE("a version that is bad from the start is rolled back within its limits")
{
    CHECK(caught("fails 1 in 3") == seeds);
    CHECK(caught("all take 3 times as long") == seeds);
}

TEST_CASE("a version that is bad under load is found while it gets a small share")
{
    CHECK(caught("fails 1 in 3 under load") == seeds);
}

TEST_CASE("a bad version gets nothing later than 5 s after its 50th bad answer")
{
    for (const version_fault& fault : version_faults) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto seen = replay(fault, seed);
            const bool kept = fault.is_good() || !seen.fiftieth ||
                              seen.last_send <= *seen.fiftieth + std::chrono::seconds(5);
            INFO(fault.name << ", seed " << seed);
            CHECK(kept);
        }
    }
}

} // namespace ej::measure
