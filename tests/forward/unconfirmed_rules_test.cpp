#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;

std::vector<fleet::step> serve(const std::string& request, int)
{
    return {{fleet::step_kind::send, fleet::signed_answer(request, 200, "done")}};
}

std::string answer_to(const daemon_fixture& fixture, const std::string& text)
{
    caller connection(fixture.listen_address());
    connection.send(text);
    return connection.read_answer();
}

/// Waits until the daemon answers `text` with `status`; false after 20 s.
bool becomes(const daemon_fixture& fixture, const std::string& text, const std::string& status)
{
    return daemon_fixture::wait_until(
        [&] { return answer_to(fixture, text).starts_with("HTTP/1.1 " + status); });
}

const std::string no_such_key = "GET /read/x HTTP/1.1\r\nHost: h.example\r\n"
                                "Endivejunction-Attempt-Id: c\r\n"
                                "Authorization: Token added-later\r\n\r\n";

} // namespace

TEST_CASE("a route or key that is unknown is not denied while the configuration may be out of date")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto no_such_route = request("GET", "/added/x", "a");
    REQUIRE(becomes(fixture, no_such_route, "404"));
    REQUIRE(becomes(fixture, no_such_key, "401"));
    fixture.store.set_silent(true);
    REQUIRE(becomes(fixture, no_such_route, "503"));
    CHECK(becomes(fixture, no_such_key, "503"));
    const auto refusal = answer_to(fixture, no_such_route);
    CHECK(refusal.find("Retry-After: ") != std::string::npos);
    CHECK(refusal.find("unconfirmed_configuration") != std::string::npos);
    // What the configuration allowed is still served.
    CHECK(becomes(fixture, request("GET", "/read/x", "b"), "200"));
    fixture.store.set_silent(false);
    CHECK(becomes(fixture, no_such_route, "404"));
    CHECK(becomes(fixture, no_such_key, "401"));
}

} // namespace ej::forward_tests
