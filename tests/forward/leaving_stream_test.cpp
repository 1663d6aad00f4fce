#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iterator>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::event_chunk;
using fleet::header_value;
using fleet::step;
using fleet::step_kind;

constexpr int last_event = 8;

std::string whole_text()
{
    std::string text;
    for (int id = 1; id <= last_event; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
    }
    return text;
}

/// The events from `first` to `last`.
std::string event_chunks(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event_chunk(id);
    }
    return text;
}

/// The head and the events behind the request's Last-Event-Id, up to event `until`.
std::string events(const std::string& request, int until)
{
    const auto behind = header_value(request, "Last-Event-Id");
    return fleet::stream_head(request) +
           event_chunks(behind.empty() ? 1 : std::stoi(behind) + 1, until);
}

std::vector<step> serve_stream(const std::string& request, int)
{
    return {{step_kind::send, events(request, last_event) + fleet::last_chunk()}};
}

/// Holds within its stream after event 3, then does `then`.
endpoint_stand_in::script hold_after_event_3(const std::vector<step>& then)
{
    return [then](const std::string& request, int) {
        std::vector<step> steps{{step_kind::send, events(request, 3)}, {step_kind::hold, ""}};
        std::ranges::copy(then, std::back_inserter(steps));
        return steps;
    };
}

/// Starts the daemon with one endpoint and a route for resumable streams, /long/, on which engines
/// may be silent for as long as a test holds them.
void start(daemon_fixture& fixture)
{
    fixture.configure(1, R"(,{"name":"long","host":"h.example","prefix":"/long/","kind":)"
                         R"("streaming","timeoutMs":60000,"service":"llm","maxAttempts":5,)"
                         R"("resumable":true,"gapAimMs":30000})");
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
}

std::string stream_request(const std::string& id)
{
    return "POST /long/x HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: " + id +
           "\r\nAuthorization: Token k1\r\nEndivejunction-Token-Usage: 5000,72\r\n"
           "Content-Length: 6\r\n\r\nprompt";
}

std::string send_stream(const daemon_fixture& fixture, const std::string& id)
{
    caller connection(fixture.listen_address());
    connection.send(stream_request(id));
    return connection.read_answer();
}

/// True once the daemon has passed on event 3 of the stream on `connection`.
bool has_event_3(caller& connection)
{
    return connection.read_until("word3").find("word3") != std::string::npos;
}

std::ptrdiff_t arrivals_of(const endpoint_stand_in& endpoint, const std::string& id)
{
    return std::ranges::count_if(endpoint.requests(), [&](const std::string& one) {
        return header_value(one, "Endivejunction-Attempt-Id") == id;
    });
}

/// The number of `count` streams that were answered whole.
int whole_streams(const daemon_fixture& fixture, int count)
{
    int whole = 0;
    for (int number = 0; number < count; ++number) {
        const auto answer = send_stream(fixture, "b" + std::to_string(number));
        whole += joined_chunks(answer) == whole_text() ? 1 : 0;
    }
    return whole;
}

/// True if a request at `engine` asked for a copy of its memory at another engine.
bool any_copy(const endpoint_stand_in& engine)
{
    return std::ranges::any_of(engine.requests(), [](const std::string& one) {
        return !header_value(one, "Endivejunction-Kv-Backup").empty();
    });
}

/// Sends streams until one has reached `engine`, which says in its answer that it leaves.
bool hear_that_it_leaves(const daemon_fixture& fixture, endpoint_stand_in& engine)
{
    engine.add_to_answers();
    return daemon_fixture::wait_until([&] {
        static_cast<void>(send_stream(fixture, "b"));
        return arrivals_of(engine, "b") > 0;
    });
}

/// Serves its first request up to event 3, then resets the connection; refuses all others.
std::vector<step> serve_first_up_to_event_3(const std::string& request, int number)
{
    if (number > 0) {
        return {{step_kind::send, "HTTP/1.1 503 X\r\nEndivejunction-Not-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n"}};
    }
    return hold_after_event_3({{step_kind::reset, ""}})(request, number);
}

} // namespace

TEST_CASE("a stream whose head says that its engine leaves ends there and further streams go "
          "elsewhere")
{
    daemon_fixture fixture;
    endpoint_stand_in leaving(
        hold_after_event_3({{step_kind::send, event_chunks(4, last_event) + fleet::last_chunk()}}));
    const endpoint_stand_in staying(serve_stream);
    leaving.add_to_answers();
    fixture.add("i-1", "llm", leaving);
    start(fixture);
    caller connection(fixture.listen_address());
    connection.send(stream_request("a"));
    REQUIRE(has_event_3(connection));
    fixture.add("i-2", "llm", staying, "z2");
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(whole_streams(fixture, 5) == 5);
    leaving.release();
    CHECK(joined_chunks(connection.read_answer()) == whole_text());
    CHECK(arrivals_of(staying, "a") == 0);
    CHECK(leaving.requests().size() == 1);
    CHECK_FALSE(any_copy(staying));
}

TEST_CASE("a stream that breaks at an engine that leaves is resumed elsewhere, also if that is the "
          "only engine for a while")
{
    daemon_fixture fixture;
    endpoint_stand_in leaving(hold_after_event_3({{step_kind::reset, ""}}));
    const endpoint_stand_in staying(serve_stream);
    leaving.add_to_answers();
    fixture.add("i-1", "llm", leaving);
    start(fixture);
    caller connection(fixture.listen_address());
    connection.send(stream_request("a"));
    REQUIRE(has_event_3(connection));
    leaving.release();
    REQUIRE(daemon_fixture::wait_until(
        [&] { return fixture.metrics().find("resume_pauses_total") != std::string::npos; }));
    fixture.add("i-2", "llm", staying, "z2");
    CHECK(joined_chunks(connection.read_answer()) == whole_text());
    REQUIRE(staying.requests().size() == 1);
    CHECK(header_value(staying.requests().front(), "Last-Event-Id") == "3");
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("a stream is not resumed from its copy at an engine that has said that it leaves")
{
    daemon_fixture fixture;
    endpoint_stand_in first(serve_first_up_to_event_3);
    endpoint_stand_in copy_holder(serve_stream);
    const endpoint_stand_in third(serve_stream);
    fixture.add("i-1", "llm", first);
    start(fixture);
    fixture.add("i-2", "llm", copy_holder, "z2");
    REQUIRE(fixture.wait_for_endpoints(2));
    caller connection(fixture.listen_address());
    connection.send(stream_request("a"));
    REQUIRE(has_event_3(connection));
    REQUIRE(any_copy(first));
    REQUIRE(hear_that_it_leaves(fixture, copy_holder));
    fixture.add("i-3", "llm", third, "z3");
    REQUIRE(fixture.wait_for_endpoints(2));
    first.release();
    CHECK(joined_chunks(connection.read_answer()) == whole_text());
    CHECK(arrivals_of(copy_holder, "a") == 0);
    CHECK(arrivals_of(third, "a") == 1);
}

} // namespace ej::forward_tests
