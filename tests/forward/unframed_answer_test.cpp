#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::header_value;
using fleet::step;
using fleet::step_kind;

constexpr int last_event = 8;

/// The head of a signed answer with neither a length nor chunks.
std::string unframed_head(const std::string& request, const std::string& more = {})
{
    return "HTTP/1.1 200 OK\r\nEndivejunction-Response-Signature: signed\r\n"
           "Endivejunction-Attempt-Id: " +
           header_value(request, "Endivejunction-Attempt-Id") + "\r\n" + more + "\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
}

std::string events_between(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += event(id);
    }
    return text;
}

/// The event after which `request` resumes; 0 if it starts at the first one.
int resumes_after(const std::string& request)
{
    const auto text = header_value(request, "Last-Event-Id");
    return text.empty() ? 0 : std::stoi(text);
}

/// Sends a new stream up to event 4 and the first `bytes` of event 5, and ends it with `end`; a
/// resumed stream is sent whole.
std::vector<step> cut_stream(const std::string& request, std::size_t bytes, step_kind end)
{
    const auto after = resumes_after(request);
    const auto head = unframed_head(request, "Content-Type: text/event-stream\r\n");
    if (after > 0) {
        return {{step_kind::send, head + events_between(after + 1, last_event)},
                {step_kind::close, ""}};
    }
    // The pause lets a reset follow the bytes instead of discarding them.
    return {{step_kind::send, head + events_between(1, 4) + event(5).substr(0, bytes)},
            {step_kind::wait, "", std::chrono::milliseconds(20)},
            {end, ""}};
}

std::string answer_to(const daemon_fixture& fixture, const std::string& method,
                      const std::string& path, const std::string& id)
{
    caller one(fixture.listen_address());
    one.send(request(method, path, id, "", "Endivejunction-Token-Usage: 5000,72\r\n"));
    return one.read_answer();
}

bool is_whole_stream(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n0\r\n\r\n") &&
           joined_chunks(answer) == events_between(1, last_event);
}

} // namespace

TEST_CASE("an unframed answer that ends with its connection is passed on whole")
{
    const auto* const more = GENERATE("", "Connection: close\r\n");
    const auto size = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{300'000});
    const std::string body(size, 'x');
    const endpoint_stand_in app([&](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, unframed_head(request, more) + body}, {step_kind::close, ""}};
    });
    daemon_fixture fixture;
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto answer = answer_to(fixture, "POST", "/act/x", "id1");
    CHECK(answer.starts_with("HTTP/1.1 200 "));
    CHECK(answer.find("\r\nEndivejunction-Response-Signature: signed\r\n") != std::string::npos);
    CHECK(answer.ends_with("\r\n\r\n" + body));
    CHECK(app.requests().size() == 1);
}

TEST_CASE("an unframed answer that is reset is not passed on and an idempotent request is answered "
          "by another endpoint")
{
    const auto pause_ms = GENERATE(0, 20);
    const endpoint_stand_in broken([&](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, unframed_head(request) + "half an ans"},
                {step_kind::wait, "", std::chrono::milliseconds(pause_ms)},
                {step_kind::reset, ""}};
    });
    const endpoint_stand_in sound([](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, unframed_head(request) + "whole"}, {step_kind::close, ""}};
    });
    daemon_fixture fixture;
    fixture.add("i-1", "app", broken);
    fixture.configure_and_start(1);
    const auto lost = answer_to(fixture, "POST", "/act/x", "id1");
    CHECK(lost.starts_with("HTTP/1.1 502 "));
    CHECK(lost.find("half") == std::string::npos);
    fixture.add("i-2", "app", sound, "z2");
    REQUIRE(fixture.wait_for_endpoints(2));
    CHECK(answer_to(fixture, "GET", "/read/x", "id2").ends_with("\r\n\r\nwhole"));
    CHECK(answer_to(fixture, "GET", "/read/x", "id3").ends_with("\r\n\r\nwhole"));
}

TEST_CASE("an unframed stream that ends with its connection after a whole event is complete")
{
    const endpoint_stand_in engine([](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send,
                 unframed_head(request, "Content-Type: text/event-stream\r\n") + event(1)},
                {step_kind::wait, "", std::chrono::milliseconds(20)},
                {step_kind::send, events_between(2, last_event)},
                {step_kind::close, ""}};
    });
    daemon_fixture fixture;
    fixture.add("i-1", "llm", engine);
    fixture.configure_and_start(1);
    CHECK(is_whole_stream(answer_to(fixture, "POST", "/gen/x", "id1")));
    CHECK(engine.requests().size() == 1);
}

TEST_CASE("an unframed stream that ends inside an event is resumed after its last whole event")
{
    const auto end = GENERATE(step_kind::close, step_kind::reset);
    for (std::size_t bytes = 1; bytes < event(5).size(); ++bytes) {
        const endpoint_stand_in first(
            [&](const std::string& request, int) { return cut_stream(request, bytes, end); });
        const endpoint_stand_in second(
            [&](const std::string& request, int) { return cut_stream(request, bytes, end); });
        daemon_fixture fixture;
        fixture.add("i-1", "llm", first);
        fixture.add("i-2", "llm", second, "z2");
        fixture.configure_and_start(2);
        INFO("bytes of event 5: " << bytes);
        CHECK(is_whole_stream(answer_to(fixture, "POST", "/gen/x", "id1")));
        CHECK(first.requests().size() + second.requests().size() == 2);
    }
}

TEST_CASE("an unframed stream that is reset after a whole event is resumed")
{
    const auto cut = [](const std::string& request, int) {
        return cut_stream(request, 0, step_kind::reset);
    };
    const endpoint_stand_in first(cut);
    const endpoint_stand_in second(cut);
    daemon_fixture fixture;
    fixture.add("i-1", "llm", first);
    fixture.add("i-2", "llm", second, "z2");
    fixture.configure_and_start(2);
    CHECK(is_whole_stream(answer_to(fixture, "POST", "/gen/x", "id1")));
    CHECK(first.requests().size() + second.requests().size() == 2);
}

TEST_CASE("an unframed stream that no engine ends outside an event does not look complete")
{
    const auto end = GENERATE(step_kind::close, step_kind::reset);
    const endpoint_stand_in engine([&](const std::string& request, int) -> std::vector<step> {
        const auto after = resumes_after(request);
        return {{step_kind::send, unframed_head(request, "Content-Type: text/event-stream\r\n") +
                                      events_between(after + 1, 4) + event(5).substr(0, 9)},
                {step_kind::wait, "", std::chrono::milliseconds(20)},
                {end, ""}};
    });
    daemon_fixture fixture;
    fixture.add("i-1", "llm", engine);
    fixture.configure_and_start(1);
    const auto answer = answer_to(fixture, "POST", "/gen/x", "id1");
    CHECK(answer.find("word4") != std::string::npos);
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
}

TEST_CASE("an unframed stream that ends before its first event does not look complete")
{
    const endpoint_stand_in engine([](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, unframed_head(request, "Content-Type: text/event-stream\r\n")},
                {step_kind::close, ""}};
    });
    daemon_fixture fixture;
    fixture.add("i-1", "llm", engine);
    fixture.configure_and_start(1);
    CHECK_FALSE(answer_to(fixture, "POST", "/gen/x", "id1").starts_with("HTTP/1.1 200 "));
}

TEST_CASE(
    "a stream whose resumed attempt ends unframed before its next event does not look complete")
{
    const endpoint_stand_in engine([](const std::string& request, int) -> std::vector<step> {
        if (resumes_after(request) > 0) {
            return {
                {step_kind::send, unframed_head(request, "Content-Type: text/event-stream\r\n")},
                {step_kind::wait, "", std::chrono::milliseconds(20)},
                {step_kind::close, ""}};
        }
        return cut_stream(request, 9, step_kind::close);
    });
    daemon_fixture fixture;
    fixture.add("i-1", "llm", engine);
    fixture.configure_and_start(1);
    const auto answer = answer_to(fixture, "POST", "/gen/x", "id1");
    CHECK(answer.find("word4") != std::string::npos);
    CHECK(answer.find("\r\n0\r\n") == std::string::npos);
}

} // namespace ej::forward_tests
