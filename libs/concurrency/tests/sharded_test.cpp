#include <concurrency/sharded.h>
#include <concurrency/snapshot.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <thread>
#include <vector>

namespace ej::concurrency {

TEST_CASE("a sharded map holds the same entries as a plain map")
{
    rc::prop("same entries after the same writes",
             [](const std::vector<std::pair<int, int>>& writes) {
                 sharded<int, int> shards;
                 std::map<int, int> expected;
                 for (const auto& [key, value] : writes) {
                     shards.with(key, [&](auto& entries) { entries[key] = value; });
                     expected[key] = value;
                 }
                 std::map<int, int> all;
                 shards.for_each_shard(
                     [&](const auto& entries) { all.insert(entries.begin(), entries.end()); });
                 RC_ASSERT(all == expected);
             });
}

TEST_CASE("concurrent increments of a sharded map and a snapshot are not lost")
{
    constexpr int threads = 4;
    constexpr int rounds = 2'000;
    constexpr int keys = 50;
    sharded<int, int> shards;
    snapshot<int> total(0);
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (int worker = 0; worker < threads; ++worker) {
        workers.emplace_back([&] {
            for (int round = 0; round < rounds; ++round) {
                const int key = round % keys;
                shards.with(key, [&](auto& entries) { ++entries[key]; });
                total.update([](int value) { return value + 1; });
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    int sum = 0;
    shards.for_each_shard([&](const auto& entries) {
        for (const auto& [key, count] : entries) {
            sum += count;
        }
    });
    CHECK(sum == threads * rounds);
    CHECK(*total.load() == threads * rounds);
}

} // namespace ej::concurrency
