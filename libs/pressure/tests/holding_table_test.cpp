#include <pressure/holding_table.h>
#include <pressure/share_of_memory.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <numeric>

namespace ej::pressure {

namespace {

using std::chrono::milliseconds;

constexpr holding_limits limits{3, 1'000, 100};

core::instant at(int ms)
{
    return core::instant(milliseconds(ms));
}

} // namespace

TEST_CASE("nothing is closed within the limits")
{
    holding_table table;
    table.put(1, {900, at(1), close_order::waiting});
    table.put(2, {100, at(2), close_order::waiting});
    CHECK(table.next_to_close(limits) == std::nullopt);
}

TEST_CASE("one connection too many closes the one that has waited longest")
{
    holding_table table;
    table.put(1, {10, at(5), close_order::waiting});
    table.put(2, {10, at(1), close_order::never});
    table.put(3, {10, at(3), close_order::waiting});
    table.put(4, {10, at(9), close_order::waiting});
    CHECK(table.next_to_close(limits) == 3);
    table.put(4, {10, at(9), close_order::finished});
    CHECK(table.next_to_close(limits) == 4);
    table.erase(4);
    CHECK(table.next_to_close(limits) == std::nullopt);
}

TEST_CASE("too many bytes close a large stalled request and never a small one")
{
    holding_table table;
    table.put(1, {100, at(1), close_order::waiting});
    table.put(2, {500, at(3), close_order::waiting});
    table.put(3, {600, at(2), close_order::waiting});
    CHECK(table.next_to_close(limits) == 3);
    table.put(3, {600, at(2), close_order::never});
    CHECK(table.next_to_close(limits) == 2);
    table.erase(2);
    table.put(3, {950, at(2), close_order::never});
    CHECK(table.exceeds(limits));
    CHECK(table.next_to_close(limits) == std::nullopt);
}

TEST_CASE("a single request of the largest size fits into any share of the memory")
{
    const bool holds = rc::check([] {
        const auto memory = *rc::gen::inRange<std::size_t>(1, 100'000'000);
        const auto connections = *rc::gen::inRange<std::size_t>(1, 10'000);
        const auto parts = *rc::gen::inRange<std::size_t>(1, 64);
        const auto largest = *rc::gen::inRange<std::size_t>(1, 10'000'000);
        const auto share = share_of_memory(memory, connections, parts, largest);
        holding_table table;
        table.put(1, {largest, at(1), close_order::waiting});
        RC_ASSERT(table.next_to_close(share) == std::nullopt);
        RC_ASSERT(share.connections >= 1U);
        RC_ASSERT(share.small_bytes * share.connections <= share.bytes / 2);
    });
    CHECK(holds);
}

TEST_CASE("closing until the limits are kept leaves requests in progress and bounds the rest")
{
    const bool holds = rc::check([] {
        holding_table table;
        std::map<std::uint64_t, holding> expected;
        const auto changes = *rc::gen::inRange(1, 60);
        for (int change = 0; change < changes; ++change) {
            const auto number = *rc::gen::inRange<std::uint64_t>(0, 12);
            if (*rc::gen::inRange(0, 4) == 0) {
                table.erase(number);
                expected.erase(number);
                continue;
            }
            const holding held{
                *rc::gen::inRange<std::size_t>(0, 700), at(*rc::gen::inRange(0, 50)),
                *rc::gen::element(close_order::finished, close_order::waiting, close_order::never)};
            table.put(number, held);
            expected[number] = held;
        }
        while (const auto closed = table.next_to_close(limits)) {
            RC_ASSERT(expected.at(*closed).order != close_order::never);
            table.erase(*closed);
            expected.erase(*closed);
        }
        const auto bytes = std::accumulate(
            expected.begin(), expected.end(), std::size_t{0},
            [](std::size_t sum, const auto& one) { return sum + one.second.bytes; });
        RC_ASSERT(table.bytes() == bytes);
        RC_ASSERT(table.size() == expected.size());
        RC_ASSERT(std::ranges::all_of(expected, [&](const auto& one) {
            return one.second.order == close_order::never || !table.exceeds(limits) ||
                   (one.second.bytes <= limits.small_bytes && table.size() <= limits.connections);
        }));
    });
    CHECK(holds);
}

} // namespace ej::pressure
