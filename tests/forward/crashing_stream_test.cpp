#include "caller.h"
#include "crashing_engines.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <string>

namespace ej::forward_tests {

namespace {

constexpr int times_sent = 5;
// A request that crashes whatever runs it may crash three endpoints, and may be sent on three
// times later.
constexpr int most_runs = 6;

std::string ask(const daemon_fixture& at, const std::string& id, const std::string& body)
{
    caller connection(at.listen_address());
    connection.send(request("POST", "/gen/x", id, body));
    return connection.read_to_end();
}

} // namespace

// BUDGET: only a run without output was evidence, so that a stream crashed engines without end.
TEST_CASE("a stream that crashes its engines is refused after a few of them, wherever its output "
          "ends")
{
    const bool after_output = GENERATE(true, false);
    INFO((after_output ? "after an event" : "before the first event"));
    daemon_fixture fixture;
    const crashing_engines group(fixture, after_output);
    fixture.configure_and_start(crashing_engines::count);
    std::string last;
    for (int number = 0; number < times_sent; ++number) {
        last = ask(fixture, "id" + std::to_string(number), crashing_engines::crashing_body);
    }
    CHECK(group.runs() <= most_runs);
    CHECK(last.starts_with("HTTP/1.1 503 "));
    CHECK(ask(fixture, "sound", "another body").find("id: 1\n") != std::string::npos);
}

} // namespace ej::forward_tests
