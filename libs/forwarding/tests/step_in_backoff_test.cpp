#include <forwarding/endpoint_stats_table.h>
#include <forwarding/restart_limit.h>
#include <forwarding/step_in_backoff.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>
#include <set>

namespace ej::forwarding {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const core::instant start{std::chrono::hours(1)};

core::endpoint endpoint_a()
{
    core::endpoint what;
    what.name = core::endpoint_id("a");
    what.incarnation = core::incarnation_id("1");
    what.where = {"10.0.0.1", 80};
    return what;
}

} // namespace

TEST_CASE("behind a backoff an endpoint gets half of what it had accepted, then twice as much each "
          "second")
{
    CHECK(restart_limit(0, seconds(0)) == 1);
    CHECK(restart_limit(3, seconds(0)) == 1);
    CHECK(restart_limit(9, seconds(0)) == 4);
    CHECK(restart_limit(9, milliseconds(999)) == 4);
    CHECK(restart_limit(9, milliseconds(1'000)) == 8);
    CHECK(restart_limit(9, seconds(3)) == 32);
    CHECK(restart_limit(4'000'000'000, std::chrono::hours(100'000)) > 4'000'000'000);
}

TEST_CASE("an endpoint at its limit behind a backoff accepts a request when one has ended")
{
    endpoint_stats_table table;
    const auto endpoint = endpoint_a();
    table.begin(endpoint.name, 10);
    table.back_off(endpoint, start + seconds(2));
    table.end(endpoint.name, 10);
    const auto reopened = start + seconds(2);
    CHECK(table.of(endpoint).next_acceptance(start) == reopened);
    CHECK(table.of(endpoint).next_acceptance(reopened) == reopened);
    table.begin(endpoint.name, 10);
    CHECK_FALSE(table.of(endpoint).accepts_requests(reopened));
    CHECK(table.of(endpoint).next_acceptance(reopened) > reopened);
    table.end(endpoint.name, 10);
    CHECK(table.of(endpoint).accepts_requests(reopened));
}

TEST_CASE("an endpoint whose long requests outlast a backoff accepts one more behind it")
{
    endpoint_stats_table table;
    const auto endpoint = endpoint_a();
    for (int sent = 0; sent < 9; ++sent) {
        table.begin(endpoint.name, 10);
    }
    table.back_off(endpoint, start + seconds(2)); // It has accepted eight.
    table.end(endpoint.name, 10);
    table.end(endpoint.name, 10);
    const auto reopened = start + seconds(2);
    CHECK_FALSE(table.of(endpoint).accepts_requests(start));
    CHECK(table.of(endpoint).accepts_requests(reopened));
    table.begin(endpoint.name, 10);
    CHECK_FALSE(table.of(endpoint).accepts_requests(reopened));
}

TEST_CASE("an endpoint that never requested a backoff accepts any number of requests")
{
    endpoint_stats_table table;
    const auto endpoint = endpoint_a();
    for (int sent = 0; sent < 100; ++sent) {
        table.begin(endpoint.name, 10);
    }
    CHECK(table.of(endpoint).accepts_requests(core::instant{}));
}

TEST_CASE("a request waits only if it can be served before its caller would come back")
{
    const bool holds = rc::check([] {
        const delayed_request request{start + milliseconds(*rc::gen::inRange(0, 10'000)),
                                      milliseconds(*rc::gen::inRange(0, 1'000)),
                                      milliseconds(*rc::gen::inRange(0, 3'000)),
                                      *rc::gen::arbitrary<std::uint64_t>()};
        const auto earliest = start + milliseconds(*rc::gen::inRange(-10, 10'000));
        const auto step = step_in_backoff(request, earliest, start);
        const auto left = request.deadline - start;
        const auto wait = std::max(earliest - start, core::duration::zero());
        if (step.wait) {
            RC_ASSERT(request.waited + wait <= (request.waited + left) / 3);
            RC_ASSERT(start + wait + request.needed <= request.deadline);
            RC_ASSERT(step.delay <= milliseconds(500));
        }
        else {
            RC_ASSERT(step.delay >= wait);
            RC_ASSERT(step.delay == return_delay(earliest, request.draw, start));
            constexpr milliseconds spread{50};
            RC_ASSERT(request.waited + wait + spread > (request.waited + left) / 3 ||
                      wait + spread + request.needed > left);
        }
    });
    CHECK(holds);
}

TEST_CASE("callers that are refused in a backoff come back after its end at different times")
{
    const auto earliest = start + seconds(8);
    std::set<core::duration> delays;
    for (std::uint64_t draw = 0; draw < 100; ++draw) {
        const auto delay = return_delay(earliest, draw, start);
        CHECK(delay >= seconds(8));
        CHECK(delay <= seconds(10));
        delays.insert(delay);
    }
    CHECK(delays.size() == 100);
}

} // namespace ej::forwarding
