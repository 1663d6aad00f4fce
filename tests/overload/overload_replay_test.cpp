#include <generation_figures.h>
#include <generation_fleet.h>
#include <load_pattern.h>
#include <load_patterns.h>
#include <placement_way.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace ej::measure {

namespace {

using std::chrono::milliseconds;

constexpr placement_way by_memory{"by memory"};
constexpr placement_way at_once{"at once", "at_once", "first_output", false};

const load_pattern& pattern_named(std::string_view name)
{
    return *std::ranges::find(load_patterns, name, &load_pattern::name);
}

generation_figures replay(const load_pattern& pattern, const placement_way& way)
{
    constexpr std::uint64_t seed = 7;
    return generation_fleet(pattern, way, seed).run();
}

double on_time(const generation_figures& of)
{
    return of.share(of.on_time);
}

} // namespace

TEST_CASE("generations of a calm day are served on time and none is refused")
{
    const auto seen = replay(pattern_named("calm"), by_memory);
    CHECK(on_time(seen) > 0.99);
    CHECK(seen.refusals == 0);
    CHECK(seen.read_in_vain == 0);
}

TEST_CASE("a burst beyond the engines' memory is served on time as far as they can read")
{
    // Nine requests an engine fit, and it reads a prompt a second: 10 s of 3.5 times the load ask
    // for 1.3 times what the engines can begin, and the target leaves 4.5 s for the rest.
    const auto& pattern = pattern_named("burst 3.5x");
    const auto seen = replay(pattern, by_memory);
    CHECK(on_time(seen) > 0.75);
    CHECK(seen.failed == 0);
    CHECK(seen.read_in_vain < 0.34 * replay(pattern, at_once).read_in_vain);
    CHECK(on_time(replay(pattern, at_once)) < 0.75);
}

TEST_CASE("a burst beside lost engines fails no generation that could be served")
{
    const auto& pattern = pattern_named("the same beside impatient callers and a hot daemon");
    const auto seen = replay(pattern, by_memory);
    const auto before = replay(pattern, at_once);
    CHECK(on_time(seen) > 0.5);
    CHECK(on_time(seen) > on_time(before));
    CHECK(seen.share(seen.failed) < 0.02);
    CHECK(seen.read_in_vain < before.read_in_vain);
}

TEST_CASE("waves of crashes are survived as before")
{
    const auto& pattern = pattern_named("waves of crashes");
    const auto seen = replay(pattern, by_memory);
    CHECK(on_time(seen) >= on_time(replay(pattern, at_once)) - 0.02);
    CHECK(seen.refusals == 0);
}

TEST_CASE("generations are on time again within twice the target after a burst, whatever was lost")
{
    const bool holds = rc::check([] {
        load_pattern pattern;
        pattern.burst = *rc::gen::element(1.5, 2.5, 3.5);
        pattern.length = milliseconds(*rc::gen::inRange(2'000, 8'000));
        pattern.lost = *rc::gen::element(0.0, 0.2, 0.4);
        pattern.back_after = milliseconds(*rc::gen::element(1'200, 3'000));
        pattern.give_up = *rc::gen::element(0.0, 0.2);
        pattern.daemons = *rc::gen::element<std::size_t>(3, 9, 30);
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000);
        const auto seen = generation_fleet(pattern, by_memory, seed).run();
        // Windows of 2 s from 9 s behind the burst and the return of the engines.
        const auto recovered =
            pattern.begin + std::max(pattern.length, pattern.back_after) + milliseconds(9'000);
        double asked = 0;
        double served = 0;
        for (std::size_t index = static_cast<std::size_t>(recovered / milliseconds(2'000)) + 1;
             index < seen.windows.size(); ++index) {
            asked += seen.windows[index].asked;
            served += seen.windows[index].on_time;
        }
        RC_ASSERT(served >= 0.95 * asked);
    });
    CHECK(holds);
}

} // namespace ej::measure
