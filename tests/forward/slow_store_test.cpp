#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using std::chrono::milliseconds;

constexpr milliseconds deadline{500};

std::vector<fleet::step> never_called(const std::string&, int)
{
    return {};
}

} // namespace

TEST_CASE("a daemon follows a store whose answers arrive steadily but end after the deadline")
{
    daemon_fixture fixture;
    fixture.settings.store_deadline = deadline;
    const endpoint_stand_in app(never_called);
    for (int number = 0; number < 60; ++number) {
        fixture.store.put("servers/odd-" + std::to_string(number), std::string(3'000, 'x'));
    }
    // 240 kB in 30 parts, 50 ms apart: three times the deadline.
    fixture.store.set_answer_pace(8'000, milliseconds(50));
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    for (int number = 0; number < 60; ++number) {
        fixture.store.put("servers/odd-" + std::to_string(number), std::string(3'000, 'y'));
    }
    fixture.store.remove("servers/i-1");
    CHECK(fixture.wait_for_endpoints(0));
}

TEST_CASE("a daemon follows a store whose answers begin after the deadline")
{
    daemon_fixture fixture;
    fixture.settings.store_deadline = deadline;
    const endpoint_stand_in app(never_called);
    fixture.store.set_answer_delay(2 * deadline + deadline / 2);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    fixture.store.remove("servers/i-1");
    CHECK(fixture.wait_for_endpoints(0));
}

} // namespace ej::forward_tests
