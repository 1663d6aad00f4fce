#include "backoff_fixture.h"
#include "caller.h"
#include "daemon_fixture.h"

#include <fleet/backoff_endpoint.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::backoff_endpoint;
using fleet::endpoint_stand_in;
using fleet::event_chunk;
using fleet::header_value;
using fleet::retry_after_line;
using fleet::step;
using fleet::step_kind;
using std::chrono::milliseconds;

const std::string long_time = retry_after_line("60");

// Longer than a refusal without Retry-After keeps requests away.
constexpr milliseconds between_requests{60};
constexpr int requests_sent = 20;

/// Sends requests on kept connections and at intervals; all are served.
void send_in_series(const daemon_fixture& fixture, const std::string& method,
                    const std::string& path)
{
    caller connection(fixture.listen_address());
    for (int number = 0; number < requests_sent; ++number) {
        connection.send(request(method, path, "id" + std::to_string(number)));
        CHECK(contains(connection.read_answer(), " 200 "));
        std::this_thread::sleep_for(between_requests);
    }
}

/// Sends streams until one has reached `engine`, which refuses it.
void send_until_refused(const daemon_fixture& fixture, const backoff_endpoint& engine)
{
    for (int number = 0; engine.refused() == 0 && number < requests_sent; ++number) {
        caller connection(fixture.listen_address());
        connection.send(backoff_request("/gen/x", "first" + std::to_string(number)));
        static_cast<void>(connection.read_answer());
    }
    REQUIRE(engine.refused() == 1);
}

/// Begins a stream at `first` with a copy of its memory at `holder`.
void begin_stream_with_copy(const caller& connection, const endpoint_stand_in& first,
                            const endpoint_stand_in& holder)
{
    connection.send(backoff_request("/gen/x", "broken"));
    REQUIRE(daemon_fixture::wait_until([&] { return first.requests().size() == 1; }));
    REQUIRE(header_value(first.requests().front(), "Endivejunction-Kv-Backup") ==
            core::to_string(holder.address()));
}

} // namespace

TEST_CASE("an endpoint that answered 503 with Retry-After gets no request within that time")
{
    const bool store_away = GENERATE(false, true);
    const std::string method = GENERATE("POST", "GET");
    daemon_fixture fixture;
    backoff_endpoint busy(serve_at_once);
    busy.refuse(long_time);
    const endpoint_stand_in other(serve_at_once);
    fixture.add("i-1", "app", busy.stand_in());
    fixture.add("i-2", "app", other, "z2");
    fixture.configure_and_start(2);
    fixture.store.set_unavailable(store_away);
    send_in_series(fixture, method, method == "POST" ? "/act/x" : "/read/x");
    CHECK(busy.arrivals() == 1);
    CHECK(other.requests().size() == requests_sent);
    CHECK(contains(fixture.metrics(), "endpoint_backoffs_total 1\n"));
}

TEST_CASE("an endpoint that starts again under its name gets requests although it had asked for "
          "none")
{
    daemon_fixture fixture;
    backoff_endpoint busy(serve_at_once);
    busy.refuse(long_time);
    fixture.add("i-1", "app", busy.stand_in());
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/act/x", "id1", "b"));
    CHECK(contains(connection.read_answer(), " 503 "));
    const endpoint_stand_in again(serve_at_once);
    fixture.add("i-1", "app", again, "z1", "ready", 2);
    REQUIRE(daemon_fixture::wait_until([&] {
        connection.send(request("POST", "/act/x", "id2", "b"));
        return contains(connection.read_answer(), " 200 ");
    }));
    CHECK(busy.arrivals() == 1);
}

TEST_CASE("a Retry-After that cannot be read leaves the endpoint in use")
{
    const auto* const lines =
        GENERATE("", "Retry-After: \r\n", "Retry-After: -5\r\n", "Retry-After: soon\r\n",
                 "Retry-After: 0\r\n", "Retry-After: Sun, 06 Nov 2044 08:49:37 GMT\r\n");
    daemon_fixture fixture;
    backoff_endpoint busy(serve_at_once);
    busy.refuse(lines, 1);
    fixture.add("i-1", "app", busy.stand_in());
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/act/x", "id1", "b"));
    CHECK(contains(connection.read_answer(), " 503 "));
    connection.send(request("POST", "/act/x", "id2", "b"));
    CHECK(contains(connection.read_answer(), " 200 "));
}

TEST_CASE("a slow request is not hedged at an endpoint that asked for a pause")
{
    daemon_fixture fixture;
    backoff_endpoint busy(serve_at_once);
    busy.refuse(long_time);
    const endpoint_stand_in other([](const std::string& text, int) -> std::vector<step> {
        const milliseconds time(contains(text, "slow") ? 600 : 0); // The hedge is due at 200 ms.
        return {{step_kind::wait, "", time},
                {step_kind::send, fleet::signed_answer(text, 200, "done")}};
    });
    fixture.add("i-1", "app", busy.stand_in());
    fixture.add("i-2", "app", other, "z2");
    fixture.configure_and_start(2);
    caller connection(fixture.listen_address());
    for (int number = 0; busy.refused() == 0 && number < requests_sent; ++number) {
        connection.send(request("GET", "/read/x", "id" + std::to_string(number)));
        CHECK(contains(connection.read_answer(), " 200 "));
    }
    connection.send(request("GET", "/read/x", "slow"));
    CHECK(contains(connection.read_answer(), " 200 "));
    CHECK(busy.arrivals() == 1);
}

TEST_CASE("a stream whose engine breaks goes on at that engine and not at one that asked for a "
          "pause")
{
    daemon_fixture fixture;
    backoff_endpoint busy(serve_events);
    busy.refuse(long_time);
    const endpoint_stand_in other([](const std::string& text, int number) {
        return contains(text, "broken") && header_value(text, "Last-Event-Id").empty()
                   ? break_after_event_5(text, number)
                   : serve_events(text, number);
    });
    fixture.add("i-1", "llm", busy.stand_in());
    fixture.add("i-2", "llm", other, "z2");
    fixture.configure_and_start(2);
    send_until_refused(fixture, busy);
    caller connection(fixture.listen_address());
    connection.send(backoff_request("/gen/x", "broken"));
    CHECK(joined_chunks(connection.read_answer()) == all_events());
    CHECK(busy.arrivals() == 1);
    // Nor is a copy of the stream's memory kept there.
    CHECK(header_value(other.requests().back(), "Endivejunction-Kv-Backup").empty());
}

TEST_CASE("a broken stream does not go on from the copy at an engine that asked for a pause")
{
    daemon_fixture fixture;
    endpoint_stand_in first([](const std::string& text, int number) {
        auto steps = header_value(text, "Last-Event-Id").empty() ? break_after_event_5(text, number)
                                                                 : serve_events(text, number);
        steps.insert(steps.end() - 1, {step_kind::hold, ""});
        return steps;
    });
    backoff_endpoint holder(serve_events);
    holder.refuse(long_time);
    fixture.add("i-1", "llm", first);
    fixture.configure_and_start(1);
    fixture.add("i-2", "llm", holder.stand_in());
    REQUIRE(fixture.wait_for_endpoints(2));
    caller connection(fixture.listen_address());
    begin_stream_with_copy(connection, first, holder.stand_in());
    REQUIRE(contains(connection.read_until("word5"), "word5"));
    // The first engine has a request already, so that the next one is sent to the other, which is
    // in the same failure domain.
    caller second(fixture.listen_address());
    second.send(backoff_request("/gen/x", "refused"));
    REQUIRE(daemon_fixture::wait_until([&] { return holder.refused() == 1; }));
    first.release();
    CHECK(joined_chunks(connection.read_answer()) == all_events());
    CHECK(holder.arrivals() == 1);
}

TEST_CASE("a silent engine that asked for a pause gets no liveness check")
{
    daemon_fixture fixture;
    backoff_endpoint engine([](const std::string& text, int number) {
        auto steps = break_after_event_5(text, number);
        steps.back() = {step_kind::hold, ""};
        steps.push_back({step_kind::send, event_chunk(6)});
        steps.push_back({step_kind::hang, ""});
        return steps;
    });
    fixture.add("i-1", "llm", engine.stand_in());
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(backoff_request("/gen/x", "silent"));
    REQUIRE(contains(connection.read_until("word5"), "word5"));
    engine.refuse(long_time);
    caller second(fixture.listen_address());
    second.send(backoff_request("/gen/x", "refused"));
    REQUIRE(daemon_fixture::wait_until([&] { return engine.refused() == 1; }));
    const auto connections = engine.stand_in().connections();
    // The check of a stream's engine is due 250 ms after an event.
    std::this_thread::sleep_for(milliseconds(900));
    CHECK(engine.stand_in().connections() == connections);
    CHECK(engine.arrivals() == 2);
}

TEST_CASE("the death of an endpoint behind an unfinished head is seen within its backoff")
{
    daemon_fixture fixture;
    backoff_endpoint engine([](const std::string& text, int) -> std::vector<step> {
        const auto head = "HTTP/1.1 200 OK\r\nEndivejunction-Attempt-Id: " +
                          header_value(text, "Endivejunction-Attempt-Id") +
                          "\r\nEndivejunction-Response-Signature: signed\r\n\r\n";
        return {{step_kind::hold, ""}, {step_kind::crash, head, std::chrono::seconds(30)}};
    });
    fixture.add("i-1", "llm", engine.stand_in());
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(backoff_request("/gen/x", "crashing"));
    REQUIRE(daemon_fixture::wait_until([&] { return engine.arrivals() == 1; }));
    engine.refuse(long_time);
    caller second(fixture.listen_address());
    second.send(backoff_request("/gen/x", "refused"));
    REQUIRE(daemon_fixture::wait_until([&] { return engine.refused() == 1; }));
    engine.stand_in().release();
    CHECK(daemon_fixture::wait_until(
        [&] { return contains(fixture.metrics(), "endivejunction_deaths_seen_total 1\n"); }));
}

} // namespace ej::forward_tests
