#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::step;
using fleet::step_kind;

constexpr std::chrono::seconds long_time{20}; // Only bounds a hang.

// Two of these fit into the least memory that callers may have, three do not.
constexpr std::size_t body_bytes = 60'000;

std::vector<step> serve_at_once(const std::string& request, int)
{
    return {{step_kind::send, fleet::signed_answer(request, 200, "done")}};
}

std::vector<step> serve_when_released(const std::string& request, int)
{
    return {{step_kind::hold}, {step_kind::send, fleet::signed_answer(request, 200, "done")}};
}

/// A request without the last byte of its body.
std::string unfinished_request(const std::string& id)
{
    auto text = request("POST", "/act/x", id, std::string(body_bytes, 'x'));
    text.pop_back();
    return text;
}

std::size_t shed_for(const daemon_fixture& fixture, const std::string& limit)
{
    const auto name = "endivejunction_caller_connections_shed_total{limit=\"" + limit + "\"} ";
    const auto text = fixture.metrics();
    const auto place = text.find(name);
    return place == std::string::npos ? 0 : std::stoul(text.substr(place + name.size()));
}

} // namespace

TEST_CASE("of unfinished requests that hold too much memory the oldest is refused as not run")
{
    daemon_fixture fixture;
    fixture.settings.caller_memory = 1; // One request of the largest size fits all the same.
    fixture.settings.max_callers = 4;
    const endpoint_stand_in app(serve_at_once);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    caller first(fixture.listen_address());
    first.send(unfinished_request("first"));
    caller second(fixture.listen_address());
    second.send(unfinished_request("second"));
    caller third(fixture.listen_address());
    third.send(unfinished_request("third"));
    const auto refusal = first.read_to_end();
    CHECK(refusal.starts_with("HTTP/1.1 503"));
    CHECK(refusal.find("Retry-After: 1\r\n") != std::string::npos);
    second.send("x");
    CHECK(second.read_answer().starts_with("HTTP/1.1 200"));
    third.send("x");
    CHECK(third.read_answer().starts_with("HTTP/1.1 200"));
    CHECK(shed_for(fixture, "memory") == 1);
    CHECK(app.requests().size() == 2);
}

TEST_CASE("with one connection too many the one that has waited longest is closed")
{
    daemon_fixture fixture;
    fixture.settings.max_callers = 2;
    const endpoint_stand_in app(serve_at_once);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    caller first(fixture.listen_address());
    first.send(request("GET", "/read/x", "a"));
    CHECK(first.read_answer().starts_with("HTTP/1.1 200"));
    caller second(fixture.listen_address());
    second.send(request("GET", "/read/x", "b"));
    CHECK(second.read_answer().starts_with("HTTP/1.1 200"));
    caller third(fixture.listen_address());
    third.send(request("GET", "/read/x", "c"));
    CHECK(third.read_answer().starts_with("HTTP/1.1 200"));
    CHECK(first.closed_within(long_time));
    second.send(request("GET", "/read/x", "d"));
    CHECK(second.read_answer().starts_with("HTTP/1.1 200"));
    CHECK(shed_for(fixture, "connections") == 1);
}

TEST_CASE("a request that is being served is not displaced by further connections")
{
    daemon_fixture fixture;
    fixture.settings.max_callers = 1;
    endpoint_stand_in app(serve_when_released);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    caller served(fixture.listen_address());
    served.send(request("POST", "/act/x", "a", "b"));
    REQUIRE(daemon_fixture::wait_until([&] { return app.requests().size() == 1; }));
    const caller further(fixture.listen_address());
    CHECK(further.closed_within(long_time));
    app.release();
    CHECK(served.read_answer().starts_with("HTTP/1.1 200"));
}

} // namespace ej::forward_tests
