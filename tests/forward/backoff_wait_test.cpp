#include "backoff_fixture.h"
#include "caller.h"
#include "daemon_fixture.h"

#include <fleet/backoff_endpoint.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::backoff_endpoint;
using fleet::endpoint_stand_in;
using fleet::header_value;
using fleet::retry_after_line;
using fleet::step;
using fleet::step_kind;
using std::chrono::milliseconds;

/// Routes whose requests have 20 s.
std::string long_routes()
{
    const auto route = [](const std::string& prefix, const std::string& kind, int attempts) {
        return R"(,{"name":"r)" + prefix + R"(","host":"h.example","prefix":")" + prefix +
               R"(","kind":")" + kind + R"(","timeoutMs":20000,"targetLatencyMs":400,)" +
               R"("priority":1,"service":"app","maxAttempts":)" + std::to_string(attempts) +
               R"(,"resumable":)" + (kind == "streaming" ? "true}" : "false}");
    };
    return route("/long/act/", "non_idempotent", 1) + route("/long/read/", "idempotent", 2) +
           route("/long/gen/", "streaming", 5);
}

void start(daemon_fixture& fixture, int endpoints)
{
    fixture.configure(1, long_routes());
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(endpoints));
}

/// Streams to requests for streams, otherwise answers at once.
std::vector<step> serve(const std::string& request, int number)
{
    return contains(request, "/gen/") ? serve_events(request, number)
                                      : serve_at_once(request, number);
}

/// The different values of Retry-After in the refusals of `count` requests in a backoff of 30 s.
std::set<std::string> refusal_delays(const daemon_fixture& fixture, const std::string& path,
                                     int count)
{
    std::set<std::string> delays;
    caller connection(fixture.listen_address());
    for (int number = 0; number < count; ++number) {
        connection.send(backoff_request(path, "id" + std::to_string(number)));
        const auto answer = connection.read_answer();
        REQUIRE(contains(answer, " 503 "));
        const auto delay = header_value(answer, "Retry-After");
        CHECK(std::stod(delay) > 20);
        CHECK(std::stod(delay) <= 37.5);
        delays.insert(delay);
    }
    return delays;
}

/// Sends `count` requests, the first of which `busy` refuses.
std::vector<std::unique_ptr<caller>> send_at_once(const daemon_fixture& fixture,
                                                  const backoff_endpoint& busy, int count)
{
    std::vector<std::unique_ptr<caller>> connections;
    for (int number = 0; number < count; ++number) {
        connections.push_back(std::make_unique<caller>(fixture.listen_address()));
        connections.back()->send(backoff_request("/long/act/x", "id" + std::to_string(number)));
        REQUIRE(daemon_fixture::wait_until([&] { return busy.refused() == 1; }));
    }
    return connections;
}

} // namespace

TEST_CASE("a request waits for the only endpoint if that asked for a short pause")
{
    const std::string path = GENERATE("/long/act/x", "/long/read/x", "/long/gen/x");
    daemon_fixture fixture;
    backoff_endpoint busy(serve);
    busy.refuse(retry_after_line("0.3"), 1);
    fixture.add("i-1", "app", busy.stand_in());
    start(fixture, 1);
    caller connection(fixture.listen_address());
    connection.send(backoff_request(path, "id1"));
    CHECK(contains(connection.read_answer(), " 200 "));
    CHECK(busy.arrivals() == 2);
    CHECK(contains(fixture.metrics(), "backoff_waits_total 1\n"));
}

TEST_CASE("requests that a pause outlasts are refused at once and told to come back at different "
          "times behind it")
{
    const std::string path = GENERATE("/act/x", "/read/x", "/gen/x");
    daemon_fixture fixture;
    backoff_endpoint busy(serve);
    busy.refuse(retry_after_line("30"));
    fixture.add("i-1", path == "/gen/x" ? "llm" : "app", busy.stand_in());
    fixture.configure_and_start(1);
    constexpr int callers = 8;
    CHECK(refusal_delays(fixture, path, callers).size() == callers);
    CHECK(busy.arrivals() == 1);
    CHECK_FALSE(contains(fixture.metrics(), "backoff_waits_total"));
}

TEST_CASE("an idempotent request that may have run is not refused while no endpoint accepts it")
{
    daemon_fixture fixture;
    backoff_endpoint busy(serve);
    busy.refuse(retry_after_line("60"));
    const endpoint_stand_in broken([](const std::string& text, int) -> std::vector<step> {
        if (contains(text, "run")) {
            return {{step_kind::reset, ""}};
        }
        return {{step_kind::send, fleet::signed_answer(text, 200, "done")}};
    });
    fixture.add("i-1", "app", busy.stand_in());
    fixture.add("i-2", "app", broken, "z2");
    fixture.configure_and_start(2);
    caller connection(fixture.listen_address());
    for (int number = 0; busy.refused() == 0 && number < 20; ++number) {
        connection.send(backoff_request("/read/x", "id" + std::to_string(number)));
        CHECK(contains(connection.read_answer(), " 200 "));
    }
    connection.send(backoff_request("/read/x", "run"));
    CHECK(contains(connection.read_answer(), " 502 "));
    CHECK(busy.arrivals() == 1);
}

TEST_CASE("a stream that was begun is not cut while the only engine wants a pause")
{
    daemon_fixture fixture;
    backoff_endpoint engine([](const std::string& text, int number) {
        auto steps = contains(text, "broken") && header_value(text, "Last-Event-Id").empty()
                         ? break_after_event_5(text, number)
                         : serve_events(text, number);
        steps.insert(steps.end() - 1, {step_kind::hold, ""});
        return steps;
    });
    fixture.add("i-1", "app", engine.stand_in());
    start(fixture, 1);
    caller connection(fixture.listen_address());
    connection.send(backoff_request("/long/gen/x", "broken"));
    REQUIRE(contains(connection.read_until("word5"), "word5"));
    engine.refuse(retry_after_line("3"));
    caller second(fixture.listen_address());
    second.send(backoff_request("/long/gen/x", "second"));
    REQUIRE(daemon_fixture::wait_until([&] { return engine.refused() == 1; }));
    engine.stand_in().release();
    // Long enough for several attempts of the stream without a pause.
    std::this_thread::sleep_for(milliseconds(600));
    engine.accept();
    CHECK(joined_chunks(connection.read_answer()) == all_events());
    CHECK(joined_chunks(second.read_answer()) == all_events());
    CHECK(engine.refused() == 1);
}

TEST_CASE("requests that waited for an endpoint are not all sent to it at once")
{
    daemon_fixture fixture;
    backoff_endpoint busy([](const std::string& text, int number) {
        auto steps = serve(text, number);
        steps.insert(steps.begin(), {step_kind::hold, ""});
        return steps;
    });
    busy.refuse(retry_after_line("0.5"), 1);
    fixture.add("i-1", "app", busy.stand_in());
    start(fixture, 1);
    constexpr int callers = 6;
    const auto connections = send_at_once(fixture, busy, callers);
    REQUIRE(daemon_fixture::wait_until([&] { return busy.arrivals() == 2; }));
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(busy.arrivals() == 2);
    busy.stand_in().release();
    for (const auto& one : connections) {
        CHECK(contains(one->read_answer(), " 200 "));
    }
    CHECK(busy.refused() == 1);
}

} // namespace ej::forward_tests
