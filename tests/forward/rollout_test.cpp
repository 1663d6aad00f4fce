#include "rollout_fixture.h"

#include <fleet/free_port.h>

#include <sys/socket.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace ej::forward_tests {

namespace {

constexpr int all_endpoints = 2 * rollout_fixture::endpoints_per_version;

/// Calls until `count` more requests have been served.
void call(rollout_fixture& fleet, int count)
{
    int left = count;
    REQUIRE(fleet.call_until([&] { return left-- == 0; }));
}

bool is_rejected(const rollout_fixture& fleet)
{
    return fleet.fixture.metrics().find("rollouts_rejected_total") != std::string::npos;
}

} // namespace

TEST_CASE("an order moves the traffic of a service to the version that it names")
{
    rollout_fixture fleet;
    fleet.order();
    fleet.fixture.configure_and_start(all_endpoints);
    REQUIRE(fleet.call_until_status("running"));
    REQUIRE(fleet.call_until_status("succeeded"));
    const int before = fleet.arrivals(false);
    call(fleet, 50);
    CHECK(fleet.arrivals(false) == before);
    CHECK(fleet.failures() == 0);
}

TEST_CASE("a version that fails is rolled back and gets no further request")
{
    rollout_fixture fleet;
    fleet.break_target();
    fleet.order();
    fleet.fixture.configure_and_start(all_endpoints);
    REQUIRE(fleet.call_until_status("rolled_back"));
    const int reached = fleet.arrivals(true);
    const int all = reached + fleet.arrivals(false);
    CHECK(reached <= all / 10 + 50); // The default limits.
    call(fleet, 100);
    CHECK(fleet.arrivals(true) == reached);
}

TEST_CASE("a daemon that knows of an order but of no record sends nothing to its target")
{
    rollout_fixture fleet;
    fleet.order();
    fleet.fixture.configure(1);
    fleet.fixture.store.put("endivejunction-rollout/app", "a record of a build to come");
    fleet.fixture.start();
    REQUIRE(fleet.fixture.wait_for_endpoints(all_endpoints));
    call(fleet, 100);
    CHECK(fleet.arrivals(true) == 0);
}

TEST_CASE("a bad version gets nothing further while the store does not answer")
{
    rollout_fixture fleet;
    fleet.order(20);
    fleet.fixture.configure_and_start(all_endpoints);
    REQUIRE(fleet.call_until_status("running"));
    REQUIRE(fleet.call_until([&] { return fleet.arrivals(true) > 0; }));
    fleet.fixture.store.set_silent(true);
    fleet.break_target();
    REQUIRE(fleet.call_until([&] { return is_rejected(fleet); }));
    const int reached = fleet.arrivals(true);
    call(fleet, 100);
    CHECK(fleet.arrivals(true) == reached);
    fleet.fixture.store.set_silent(false);
    CHECK(fleet.call_until_status("rolled_back"));
}

TEST_CASE("a step whose answer is lost is followed, and the roll-out goes on")
{
    rollout_fixture fleet;
    fleet.fixture.settings.store_deadline = std::chrono::milliseconds(200);
    fleet.order();
    fleet.fixture.configure_and_start(all_endpoints);
    // The store carries writes out; the daemon gives up waiting for its answers.
    fleet.fixture.store.set_answer_delay(std::chrono::milliseconds(300));
    REQUIRE(fleet.call_until_status("running"));
    const auto unwritten = [&] {
        return fleet.fixture.metrics().find("rollout_writes_failed_total") != std::string::npos;
    };
    REQUIRE(fleet.call_until(unwritten));
    fleet.fixture.store.set_answer_delay({});
    CHECK(fleet.call_until_status("succeeded"));
    CHECK(fleet.failures() == 0);
}

TEST_CASE("a roll-out goes on after a restart of the daemon that decides")
{
    rollout_fixture fleet;
    fleet.order();
    fleet.fixture.configure_and_start(all_endpoints);
    REQUIRE(fleet.call_until_status("running"));
    fleet.fixture.daemon.reset();
    fleet.fixture.start();
    REQUIRE(fleet.fixture.wait_for_endpoints(all_endpoints));
    CHECK(fleet.call_until_status("succeeded"));
}

TEST_CASE("another daemon finishes a roll-out when the one that decides is gone")
{
    rollout_fixture fleet;
    fleet.fixture.settings.peer_listen.port = ej::fleet::free_port(SOCK_DGRAM);
    daemon_fixture second;
    second.settings.vm = core::vm_id("vm-2");
    second.settings.peer_listen.port = ej::fleet::free_port(SOCK_DGRAM);
    second.settings.store = fleet.fixture.store.address();
    fleet.order();
    fleet.fixture.configure_and_start(all_endpoints);
    second.start();
    REQUIRE(fleet.call_until_status("running"));
    std::string gone = "vm-2";
    SECTION("the first daemon is gone")
    {
        fleet.fixture.daemon.swap(second.daemon);
        gone = "vm-1";
    }
    SECTION("the second daemon is gone") {}
    second.daemon.reset();
    fleet.fixture.store.remove("endivejunction/" + gone); // Its lease has ended.
    CHECK(fleet.call_until_status("succeeded"));
}

} // namespace ej::forward_tests
