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

constexpr int last_event = 12;

/// A resumable stream that leaves an engine without output after 340 ms, and has 20 s.
std::string streaming_route()
{
    return R"(,{"name":"long","host":"h.example","prefix":"/long/","kind":"streaming",)"
           R"("timeoutMs":20000,"targetLatencyMs":400,"priority":1,"service":"llm",)"
           R"("maxAttempts":5,"sticky":true,"gapAimMs":300,"resumable":true})";
}

std::string stream_request()
{
    return "POST /long/x HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: id1\r\n"
           "Authorization: Token k1\r\nEndivejunction-Token-Usage: 5000,72\r\n"
           "Content-Length: 6\r\n\r\nprompt";
}

std::string whole_stream()
{
    std::string text;
    for (int id = 1; id <= last_event; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: word" + std::to_string(id) + "\n\n";
    }
    return text;
}

std::vector<step> serve(const std::string& request)
{
    std::vector<step> steps{{step_kind::send, fleet::stream_head(request)}};
    for (int id = 1; id <= last_event; ++id) {
        steps.push_back({step_kind::send, fleet::event_chunk(id)});
    }
    steps.push_back({step_kind::send, fleet::last_chunk()});
    return steps;
}

std::vector<step> refuse(const std::string& request, const std::string& more = {})
{
    return {{step_kind::send, fleet::signed_answer(request, 503, "full",
                                                   "Endivejunction-Not-Executed: 1\r\n" + more)}};
}

std::string answer_to_stream(const daemon_fixture& fixture)
{
    caller one(fixture.listen_address());
    one.send(stream_request());
    return one.read_answer();
}

} // namespace

TEST_CASE("a stream does not go back to an engine that it left for its silence")
{
    constexpr int refusals = 3;
    daemon_fixture fixture;
    const endpoint_stand_in silent(
        [](const std::string&, int) -> std::vector<step> { return {{step_kind::hang, ""}}; });
    const endpoint_stand_in full([](const std::string& request, int number) {
        return number < refusals ? refuse(request) : serve(request);
    });
    fixture.add("i-1", "llm", silent);
    fixture.add("i-2", "llm", full, "z2");
    fixture.configure(1, streaming_route());
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(2));
    CHECK(joined_chunks(answer_to_stream(fixture)) == whole_stream());
    CHECK(silent.requests().size() == 1);
    CHECK(full.requests().size() == refusals + 1);
}

TEST_CASE("a stream that waits in its engine's queue does not leave it for a full engine")
{
    // Three times the silence limit of the route, less than reports of load are valid.
    constexpr std::chrono::milliseconds queued{1'000};
    daemon_fixture fixture;
    const endpoint_stand_in full([](const std::string& request, int) {
        return refuse(request, "Endivejunction-Server-Load: 8,3,8\r\n");
    });
    fixture.add("i-1", "llm", full);
    fixture.configure(1, streaming_route());
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(answer_to_stream(fixture).starts_with("HTTP/1.1 503"));
    const auto refused = full.requests().size();
    const endpoint_stand_in queueing([&](const std::string& request, int) {
        auto steps = serve(request);
        steps.insert(steps.begin(), {step_kind::wait, "", queued});
        return steps;
    });
    fixture.add("i-2", "llm", queueing);
    REQUIRE(fixture.wait_for_endpoints(2));
    CHECK(joined_chunks(answer_to_stream(fixture)) == whole_stream());
    CHECK(queueing.requests().size() == 1);
    CHECK(full.requests().size() == refused);
}

} // namespace ej::forward_tests
