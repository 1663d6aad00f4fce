#include "action_fleet.h"

#include <catch2/catch.hpp>

namespace ej::runtime {

namespace {

constexpr unsigned conflict = 409;
constexpr unsigned gateway_timeout = 504;

} // namespace

TEST_CASE("a ticket used at its daemon and through another daemon runs once")
{
    action_fleet fleet;
    const auto key = fleet.ticket(0);
    auto first = fleet.run(0, key);
    auto second = fleet.run(1, key);
    const auto first_response = first.get();
    CHECK(first_response.status == 200);
    CHECK(second.get() == first_response);
    CHECK(fleet.run(1, key).get() == first_response);
    CHECK(fleet.run(0, key, "{\"other\":1}").get().status == conflict);
    CHECK(fleet.executions == 1);
}

TEST_CASE("a caller's key used at two daemons at once runs once, also if a write's answer is lost")
{
    action_fleet fleet;
    fleet.store->lose_answers = 1;
    auto first = fleet.run(0, "booking-1");
    auto second = fleet.run(1, "booking-1");
    const auto first_response = first.get();
    CHECK(first_response.status == 200);
    CHECK(second.get() == first_response);
    CHECK(fleet.executions == 1);
}

TEST_CASE(
    "during a store outage a ticket runs and a claim's outcome is unknown, and afterwards the "
    "claim runs once")
{
    action_fleet fleet;
    fleet.store->outage = true;
    CHECK(fleet.run(0, fleet.ticket(0)).get().status == 200);
    CHECK(fleet.run(0, "booking-1").get().status == gateway_timeout);
    CHECK(fleet.executions == 1);
    fleet.store->outage = false;
    CHECK(fleet.run(1, "booking-1").get().status == 200);
    CHECK(fleet.run(0, "booking-1").get().status == 200);
    CHECK(fleet.executions == 2);
}

TEST_CASE(
    "the outcome of a ticket is unknown and it does not run where its daemon cannot be reached")
{
    action_fleet fleet;
    fleet.peers_cut = true;
    const auto key = fleet.ticket(0);
    CHECK(fleet.run(1, key).get().status == gateway_timeout);
    CHECK(fleet.executions == 0);
    CHECK(fleet.run(0, key).get().status == 200);
}

TEST_CASE("only a request that the application reports as not run is sent again")
{
    action_fleet fleet;
    fleet.refuse = 2;
    CHECK(fleet.run(0, fleet.ticket(0)).get().status == 200);
    CHECK(fleet.executions == 1);
    fleet.break_answers = true;
    const auto key = fleet.ticket(0);
    CHECK(fleet.run(0, key).get().status == gateway_timeout);
    fleet.break_answers = false;
    CHECK(fleet.run(0, key).get().status == gateway_timeout);
    CHECK(fleet.executions == 2);
}

} // namespace ej::runtime
