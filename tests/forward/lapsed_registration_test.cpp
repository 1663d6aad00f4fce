#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace ej::forward_tests {

namespace {

const std::string own_entry = "endivejunction/vm-1";

bool store_is_away(const daemon_fixture& fixture)
{
    return fixture.metrics().find("endivejunction_store_away 1") != std::string::npos;
}

} // namespace

TEST_CASE("a registration that lapsed in an outage is written again as soon as the store is back")
{
    daemon_fixture fixture;
    fixture.settings.lease = std::chrono::hours(10); // No renewal becomes due by itself.
    fixture.configure_and_start(0);
    REQUIRE(daemon_fixture::wait_until([&] { return fixture.store.contains(own_entry); }));
    fixture.store.set_silent(true);
    REQUIRE(daemon_fixture::wait_until([&] { return store_is_away(fixture); }));
    fixture.store.remove(own_entry);
    fixture.store.end_leases();
    fixture.store.set_silent(false);
    CHECK(daemon_fixture::wait_until([&] { return fixture.store.contains(own_entry); }));
}

} // namespace ej::forward_tests
