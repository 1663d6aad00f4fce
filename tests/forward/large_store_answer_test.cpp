#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

std::vector<fleet::step> never_called(const std::string&, int)
{
    return {};
}

} // namespace

TEST_CASE("a daemon whose changes do not fit into one answer reads the store page by page")
{
    daemon_fixture fixture;
    const fleet::endpoint_stand_in app(never_called);
    fixture.configure_and_start(0);
    fixture.store.set_unavailable(true);
    REQUIRE(daemon_fixture::wait_until([&] {
        return fixture.metrics().find("endivejunction_store_away 1\n") != std::string::npos;
    }));
    for (int number = 0; number < 600; ++number) {
        fixture.store.put("servers/odd-" + std::to_string(number), std::string(8'000, 'x'));
    }
    fixture.add("i-1", "app", app);
    fixture.store.set_unavailable(false);
    CHECK(fixture.wait_for_endpoints(1));
}

} // namespace ej::forward_tests
