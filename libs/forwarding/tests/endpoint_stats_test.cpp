#include <forwarding/endpoint_stats_table.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <map>
#include <string>

namespace ej::forwarding {

namespace {

using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};

} // namespace

TEST_CASE("the load and health of ten thousand incarnations that are gone do not stay in memory")
{
    endpoint_stats_table table;
    std::map<int, std::size_t> sizes;
    auto now = start;
    for (int number = 1; number <= 10'000; ++number) {
        now += seconds(10);
        endpoint_record one;
        one.what.name = core::endpoint_id("i-" + std::to_string(number));
        one.what.service = core::service_id("s");
        one.what.where = {"10.0.0." + std::to_string(number % 250),
                          static_cast<std::uint16_t>(number)};
        table.begin(one.what.name, 100);
        table.failed(one.what.name, attempt_end::broken, now);
        table.record_slowness(one.what.where, 2);
        table.end(one.what.name, 100);
        table.review(available_endpoints({one}), now);
        sizes[number] = table.size();
    }
    CHECK(sizes[2'000] <= 100);
    CHECK(sizes[10'000] <= sizes[2'000]);
}

TEST_CASE(
    "the load of an endpoint that is gone is kept while it runs requests, and the speed of an "
    "address while an engine may come back there")
{
    endpoint_stats_table table;
    core::endpoint gone;
    gone.name = core::endpoint_id("i-1");
    gone.where = {"10.0.0.1", 1};
    table.begin(gone.name, 100);
    table.begin(gone.name, 100);
    table.record_slowness(gone.where, 4);
    table.review({}, start);
    CHECK(table.of(gone).in_flight == 2);
    CHECK(table.own_shares().size() == 1);
    table.end(gone.name, 100);
    table.end(gone.name, 100);
    table.review({}, start + endpoint_stats_table::speed_retention);
    CHECK(table.of(gone).slowness == 4);
    table.review({}, start + endpoint_stats_table::speed_retention + seconds(1));
    CHECK(table.of(gone).slowness == 1);
    CHECK(table.size() == 0);
}

TEST_CASE("the backoff of an endpoint whose registration is missing for a while still holds")
{
    endpoint_stats_table table;
    core::endpoint missing;
    missing.name = core::endpoint_id("i-1");
    missing.where = {"10.0.0.1", 1};
    table.back_off(missing, start + seconds(5));
    table.review({}, start + seconds(4));
    CHECK(table.in_backoff(missing, start + seconds(4)));
    table.review({}, start + seconds(5));
    CHECK(table.size() == 0);
}

} // namespace ej::forwarding
