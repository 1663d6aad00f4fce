#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

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

/// The head and the events behind the request's Last-Event-Id, up to event `until`.
std::string events(const std::string& request, int until)
{
    const auto behind = header_value(request, "Last-Event-Id");
    std::string text = fleet::stream_head(request);
    for (int id = behind.empty() ? 1 : std::stoi(behind) + 1; id <= until; ++id) {
        text += event_chunk(id);
    }
    return text;
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

} // namespace

TEST_CASE("a stream whose head says that its engine leaves ends there and further streams go "
          "elsewhere")
{
    daemon_fixture fixture;
    std::vector<step> rest{{step_kind::send, ""}};
    for (int id = 4; id <= last_event; ++id) {
        rest.front().text += event_chunk(id);
    }
    rest.front().text += fleet::last_chunk();
    endpoint_stand_in leaving(hold_after_event_3(rest));
    const endpoint_stand_in staying(serve_stream);
    leaving.add_to_answers();
    fixture.add("i-1", "llm", leaving);
    start(fixture);
    caller connection(fixture.listen_address());
    connection.send(stream_request("a"));
    REQUIRE(has_event_3(connection));
    fixture.add("i-2", "llm", staying, "z2");
    REQUIRE(fixture.wait_for_endpoints(1));
    for (int number = 0; number < 5; ++number) {
        CHECK(joined_chunks(send_stream(fixture, "b" + std::to_string(number))) == whole_text());
    }
    leaving.release();
    CHECK(joined_chunks(connection.read_answer()) == whole_text());
    CHECK(arrivals_of(staying, "a") == 0);
    CHECK(leaving.requests().size() == 1);
    // Nor does the engine get copies.
    CHECK(std::ranges::all_of(staying.requests(), [](const std::string& one) {
        return header_value(one, "Endivejunction-Kv-Backup").empty();
    }));
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
    // Serves its first request up to event 3 and refuses all others.
    const auto hold_first = hold_after_event_3({{step_kind::reset, ""}});
    endpoint_stand_in first([&](const std::string& text, int number) -> std::vector<step> {
        return number == 0 ? hold_first(text, number)
                           : std::vector<step>{{step_kind::send,
                                                "HTTP/1.1 503 X\r\nEndivejunction-Not-Executed: 1"
                                                "\r\nContent-Length: 0\r\n\r\n"}};
    });
    endpoint_stand_in copy_holder(serve_stream);
    const endpoint_stand_in third(serve_stream);
    fixture.add("i-1", "llm", first);
    start(fixture);
    fixture.add("i-2", "llm", copy_holder, "z2");
    REQUIRE(fixture.wait_for_endpoints(2));
    caller connection(fixture.listen_address());
    connection.send(stream_request("a"));
    REQUIRE(has_event_3(connection));
    REQUIRE(first.requests().size() == 1);
    REQUIRE(header_value(first.requests().front(), "Endivejunction-Kv-Backup") ==
            core::to_string(copy_holder.address()));
    copy_holder.add_to_answers();
    REQUIRE(daemon_fixture::wait_until([&] {
        static_cast<void>(send_stream(fixture, "b"));
        return arrivals_of(copy_holder, "b") > 0;
    }));
    fixture.add("i-3", "llm", third, "z3");
    REQUIRE(fixture.wait_for_endpoints(2));
    first.release();
    CHECK(joined_chunks(connection.read_answer()) == whole_text());
    CHECK(arrivals_of(copy_holder, "a") == 0);
    CHECK(arrivals_of(third, "a") == 1);
}

} // namespace ej::forward_tests
