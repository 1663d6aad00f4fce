#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::step;
using fleet::step_kind;

// Of a caller that reads slowly. Smaller than what the tests stream.
constexpr int small_buffer = 16'384;
constexpr int event_bytes = 50'000;

/// A stream that may run once, with 20 s.
std::string route_without_retries()
{
    return R"(,{"name":"once","host":"h.example","prefix":"/once/","kind":"streaming",)"
           R"("timeoutMs":20000,"targetLatencyMs":400,"priority":1,"service":"llm",)"
           R"("maxAttempts":1,"sticky":true,"gapAimMs":300})";
}

std::string stream_request(const std::string& version)
{
    return "POST /once/x HTTP/" + version +
           "\r\nHost: h.example\r\nEndivejunction-Attempt-Id: id1\r\n"
           "Authorization: Token k1\r\nEndivejunction-Token-Usage: 5000,72\r\n"
           "Content-Length: 6\r\n\r\nprompt";
}

std::string large_event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(event_bytes, 'x') + "\n\n";
}

std::string chunk(const std::string& text)
{
    std::ostringstream made;
    made << std::hex << text.size() << "\r\n" << text << "\r\n";
    return made.str();
}

/// Streams `count` large events and ends within the stream.
endpoint_stand_in::script events_without_end(int count)
{
    return [count](const std::string& request, int) {
        std::vector<step> steps{{step_kind::send, fleet::stream_head(request)}};
        for (int id = 1; id <= count; ++id) {
            steps.push_back({step_kind::send, chunk(large_event(id))});
        }
        steps.push_back({step_kind::close, ""});
        return steps;
    };
}

std::string all_events(int count)
{
    std::string text;
    for (int id = 1; id <= count; ++id) {
        text += large_event(id);
    }
    return text;
}

void start(daemon_fixture& fixture, const endpoint_stand_in& engine)
{
    fixture.add("i-1", "llm", engine);
    fixture.configure(1, route_without_retries());
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
}

bool counts(const daemon_fixture& fixture, const std::string& metric)
{
    return fixture.metrics().find(metric) != std::string::npos;
}

bool wait_for_cut(const daemon_fixture& fixture)
{
    return daemon_fixture::wait_until([&] { return counts(fixture, "answers_cut_total"); });
}

/// The body of an answer without a length or chunks.
std::string unframed_body(const std::string& answer)
{
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

} // namespace

TEST_CASE("a stream that is cut for a caller without chunked encoding ends with a reset")
{
    constexpr int events = 20;
    const int buffer = GENERATE(0, small_buffer);
    daemon_fixture fixture;
    const endpoint_stand_in engine(events_without_end(events));
    start(fixture, engine);
    caller one(fixture.listen_address(), buffer);
    one.send(stream_request("1.0"));
    REQUIRE(wait_for_cut(fixture));
    CHECK((unframed_body(one.read_to_end()) == all_events(events)));
    CHECK(one.was_reset());
}

TEST_CASE("a stream that a caller without chunked encoding reads too slowly ends with a reset")
{
    constexpr int events = 400; // More than the daemon and the kernel buffer.
    daemon_fixture fixture;
    const endpoint_stand_in engine(events_without_end(events));
    start(fixture, engine);
    caller slow(fixture.listen_address(), small_buffer);
    slow.send(stream_request("1.0"));
    REQUIRE(daemon_fixture::wait_until(
        [&] { return counts(fixture, "caller_connections_ended_total{end=\"output_limit\""); }));
    CHECK(unframed_body(slow.read_to_end()).size() < all_events(events).size());
    CHECK(slow.was_reset());
}

TEST_CASE("a whole stream for a caller without chunked encoding ends in an orderly way")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, fleet::stream_head(request)},
                {step_kind::send, chunk(large_event(1))},
                {step_kind::send, fleet::last_chunk()}};
    });
    start(fixture, engine);
    caller one(fixture.listen_address(), small_buffer);
    one.send(stream_request("1.0"));
    CHECK((unframed_body(one.read_to_end()) == all_events(1)));
    CHECK_FALSE(one.was_reset());
}

TEST_CASE("the events of a cut stream arrive although the caller has sent more than was read")
{
    constexpr int events = 20;
    daemon_fixture fixture;
    const endpoint_stand_in engine(events_without_end(events));
    start(fixture, engine);
    caller one(fixture.listen_address(), small_buffer);
    // The daemon reads ahead only a part of the further requests.
    std::string text = stream_request("1.1");
    constexpr int more = 2'000;
    for (int number = 0; number < more; ++number) {
        text += stream_request("1.1");
    }
    one.send(text);
    REQUIRE(wait_for_cut(fixture));
    const auto answer = one.read_to_end();
    CHECK((joined_chunks(answer + "0\r\n\r\n") == all_events(events)));
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK_FALSE(one.was_reset());
}

} // namespace ej::forward_tests
