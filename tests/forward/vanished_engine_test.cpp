#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::step;
using fleet::step_kind;
using std::chrono::milliseconds;

constexpr int last_event = 12;
constexpr int last_before_loss = 5;
// Until the daemon's kernel has acknowledged what was sent.
constexpr milliseconds acknowledged_after{200};

/// A stream with 20 s.
std::string streaming_route(const std::string& prefix, bool resumable)
{
    return R"(,{"name":"r)" + prefix + R"(","host":"h.example","prefix":")" + prefix +
           R"(","kind":"streaming","timeoutMs":20000,"targetLatencyMs":400,"priority":1,)" +
           R"("service":"llm","maxAttempts":5,"sticky":true,"gapAimMs":300,"resumable":)" +
           (resumable ? "true" : "false") + "}";
}

std::string stream_request(const std::string& path)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: id1\r\n"
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

std::vector<step> events(const std::string& request, int from, int until)
{
    std::vector<step> steps{{step_kind::send, fleet::stream_head(request)}};
    for (int id = from; id <= until; ++id) {
        steps.push_back({step_kind::send, fleet::event_chunk(id)});
    }
    return steps;
}

/// Streams the first events, then does `pause` for `time` and streams the others.
std::vector<step> events_around(const std::string& request, step_kind pause, milliseconds time)
{
    auto steps = events(request, 1, last_before_loss);
    steps.push_back({step_kind::wait, "", acknowledged_after});
    steps.push_back({pause, "", time});
    for (int id = last_before_loss + 1; id <= last_event; ++id) {
        steps.push_back({step_kind::send, fleet::event_chunk(id)});
    }
    steps.push_back({step_kind::send, fleet::last_chunk()});
    return steps;
}

void start(daemon_fixture& fixture, const endpoint_stand_in& engine)
{
    fixture.add("i-1", "llm", engine);
    fixture.configure(1, streaming_route("/whole/", false) + streaming_route("/resumed/", true));
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
}

std::string answer_to(const daemon_fixture& fixture, const std::string& path)
{
    caller one(fixture.listen_address());
    one.send(stream_request(path));
    return one.read_answer();
}

bool counts(const daemon_fixture& fixture, const std::string& metric)
{
    return fixture.metrics().find(metric) != std::string::npos;
}

} // namespace

TEST_CASE("a stream goes on elsewhere when its engine's machine vanishes during a silence")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& request, int number) {
        if (number == 0) {
            return events_around(request, step_kind::vanish, std::chrono::hours(1));
        }
        auto steps = events(request, last_before_loss + 1, last_event);
        steps.push_back({step_kind::send, fleet::last_chunk()});
        return steps;
    });
    start(fixture, engine);
    CHECK(joined_chunks(answer_to(fixture, "/resumed/x")) == whole_stream());
    CHECK(counts(fixture, "attempts_ended_total{end=\"broken\"} 1\n"));
}

TEST_CASE("a stream that may not go on elsewhere outlasts a loss of its engine's network")
{
    static constexpr milliseconds loss{6'000};
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& request, int) {
        return events_around(request, step_kind::vanish, loss);
    });
    start(fixture, engine);
    CHECK(joined_chunks(answer_to(fixture, "/whole/x")) == whole_stream());
}

TEST_CASE("a stream outlasts the loss of a probe of its silent engine")
{
    static constexpr milliseconds loss{2'300};
    static constexpr milliseconds silence{3'000};
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& request, int) {
        auto steps = events_around(request, step_kind::wait, silence);
        const auto first_wait = std::ranges::find(steps, step_kind::wait, &step::kind);
        steps.insert(std::next(first_wait), {step_kind::vanish, "", loss});
        return steps;
    });
    start(fixture, engine);
    CHECK(joined_chunks(answer_to(fixture, "/resumed/x")) == whole_stream());
}

TEST_CASE("a stream is not cut while its engine is silent for longer than probes may be lost")
{
    static constexpr milliseconds silence{6'000};
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& request, int) {
        return events_around(request, step_kind::wait, silence);
    });
    start(fixture, engine);
    CHECK(joined_chunks(answer_to(fixture, "/resumed/x")) == whole_stream());
}

} // namespace ej::forward_tests
