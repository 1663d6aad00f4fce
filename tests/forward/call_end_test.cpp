#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::event_chunk;
using fleet::header_value;
using fleet::step;
using fleet::step_kind;
using fleet::stream_head;
using std::chrono::milliseconds;

constexpr int last_event = 12;
constexpr int last_before_pause = 5;

// Longer than the daemon waits for a silent engine on the routes below, and far shorter than their
// timeout.
constexpr milliseconds pause{1'000};

/// A streaming route under `prefix`; requests on it have 20 s.
std::string streaming_route(const std::string& prefix, int attempts, bool resumable)
{
    return R"(,{"name":"r)" + prefix + R"(","host":"h.example","prefix":")" + prefix +
           R"(","kind":"streaming","timeoutMs":20000,"targetLatencyMs":400,"priority":1,)" +
           R"("service":"llm","maxAttempts":)" + std::to_string(attempts) +
           R"(,"sticky":true,"gapAimMs":300,"resumable":)" + (resumable ? "true" : "false") + "}";
}

std::string streaming_routes()
{
    return streaming_route("/whole/", 5, false) + streaming_route("/once/", 1, true) +
           streaming_route("/resumed/", 5, true);
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

/// First event that `request` asks for.
int first_event(const std::string& request)
{
    const auto last_event_id = header_value(request, "Last-Event-Id");
    return last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1;
}

void add_events(std::vector<step>& steps, int from, int until)
{
    for (int id = from; id <= until; ++id) {
        steps.push_back({step_kind::send, event_chunk(id)});
    }
}

/// Streams what `request` asks for.
std::vector<step> serve(const std::string& request, int)
{
    std::vector<step> steps{{step_kind::send, stream_head(request)}};
    add_events(steps, first_event(request), last_event);
    steps.push_back({step_kind::send, fleet::last_chunk()});
    return steps;
}

/// Streams what `request` asks for, with a pause after event `last_before_pause`.
std::vector<step> serve_with_pause(const std::string& request, int)
{
    std::vector<step> steps{{step_kind::send, stream_head(request)}};
    add_events(steps, first_event(request), last_before_pause);
    steps.push_back({step_kind::wait, "", pause});
    add_events(steps, std::max(first_event(request), last_before_pause + 1), last_event);
    steps.push_back({step_kind::send, fleet::last_chunk()});
    return steps;
}

/// Streams what `request` asks for after a pause.
std::vector<step> serve_after_pause(const std::string& request, int number)
{
    auto steps = serve(request, number);
    steps.insert(steps.begin(), {step_kind::wait, "", pause});
    return steps;
}

/// The answer to a stream on `path`.
std::string answer_to(const daemon_fixture& fixture, const std::string& path)
{
    caller one(fixture.listen_address());
    one.send(stream_request(path));
    return one.read_answer();
}

void start(daemon_fixture& fixture, int endpoints)
{
    fixture.configure(1, streaming_routes());
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(endpoints));
}

} // namespace

TEST_CASE("a stream that may not be sent again is not cut while its engine is silent")
{
    const std::string path = GENERATE("/whole/x", "/once/x");
    daemon_fixture fixture;
    const endpoint_stand_in engine(serve_with_pause);
    const endpoint_stand_in other(serve_with_pause);
    fixture.add("i-1", "llm", engine);
    fixture.add("i-2", "llm", other, "z2");
    start(fixture, 2);
    CHECK(joined_chunks(answer_to(fixture, path)) == whole_stream());
    CHECK(engine.requests().size() + other.requests().size() == 1);
}

TEST_CASE("a stream that may not be sent again is not failed while its engine reads the prompt")
{
    const std::string path = GENERATE("/whole/x", "/once/x");
    daemon_fixture fixture;
    const endpoint_stand_in engine(serve_after_pause);
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    CHECK(joined_chunks(answer_to(fixture, path)) == whole_stream());
    CHECK(engine.requests().size() == 1);
}

TEST_CASE("a stream is not cut while its engine is silent and the retry budget is spent")
{
    daemon_fixture fixture;
    fixture.settings.budget = {0, 0, std::chrono::seconds(10)};
    const endpoint_stand_in engine(serve_with_pause);
    const endpoint_stand_in other(serve_with_pause);
    fixture.add("i-1", "llm", engine);
    fixture.add("i-2", "llm", other, "z2");
    start(fixture, 2);
    CHECK(joined_chunks(answer_to(fixture, "/resumed/x")) == whole_stream());
    CHECK(engine.requests().size() + other.requests().size() == 1);
}

TEST_CASE("a stream stays with its silent engine while there is no other one")
{
    const auto script = GENERATE(&serve_with_pause, &serve_after_pause);
    daemon_fixture fixture;
    const endpoint_stand_in engine(script);
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    CHECK(joined_chunks(answer_to(fixture, "/resumed/x")) == whole_stream());
    CHECK(engine.requests().size() == 1);
}

TEST_CASE("a stream leaves its silent engine for another one that becomes ready")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& text, int) {
        std::vector<step> steps{{step_kind::send, stream_head(text)}};
        add_events(steps, 1, last_before_pause);
        steps.push_back({step_kind::hang, ""});
        return steps;
    });
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    caller one(fixture.listen_address());
    one.send(stream_request("/resumed/x"));
    REQUIRE(one.read_until("word5").find("word5") != std::string::npos);
    REQUIRE(daemon_fixture::wait_until([&] {
        return fixture.metrics().find("silences_total{step=\"stay\"} 1\n") != std::string::npos;
    }));
    const endpoint_stand_in other(serve);
    fixture.add("i-2", "llm", other, "z2");
    CHECK(joined_chunks(one.read_answer()) == whole_stream());
    CHECK(daemon_fixture::wait_until([&] { return engine.abandoned() == 1; }));
}

TEST_CASE("a stream leaves a silent engine that has started again under its name")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& text, int) {
        std::vector<step> steps{{step_kind::send, stream_head(text)}};
        add_events(steps, 1, last_before_pause);
        steps.push_back({step_kind::hang, ""});
        return steps;
    });
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    caller one(fixture.listen_address());
    one.send(stream_request("/resumed/x"));
    REQUIRE(one.read_until("word5").find("word5") != std::string::npos);
    const endpoint_stand_in again(serve);
    fixture.add("i-1", "llm", again, "z1", "ready", 2);
    CHECK(joined_chunks(one.read_answer()) == whole_stream());
}

TEST_CASE("a stream that was begun is not cut while no engine is ready")
{
    daemon_fixture fixture;
    endpoint_stand_in engine([](const std::string& text, int) {
        std::vector<step> steps{{step_kind::send, stream_head(text)}};
        add_events(steps, 1, last_before_pause);
        steps.push_back({step_kind::hold, ""});
        steps.push_back({step_kind::reset, ""});
        return steps;
    });
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    caller one(fixture.listen_address());
    one.send(stream_request("/resumed/x"));
    REQUIRE(one.read_until("word5").find("word5") != std::string::npos);
    fixture.add("i-1", "llm", engine, "z1", "draining");
    REQUIRE(fixture.wait_for_endpoints(0));
    engine.release();
    REQUIRE(daemon_fixture::wait_until([&] {
        return fixture.metrics().find("attempts_ended_total{end=\"broken\"} 1\n") !=
               std::string::npos;
    }));
    const endpoint_stand_in other(serve);
    fixture.add("i-2", "llm", other, "z2");
    CHECK(joined_chunks(one.read_answer()) == whole_stream());
}

TEST_CASE("a stream that was begun is not cut while all engines are full")
{
    constexpr int refusals = 12; // More than the sends of one request without a pause.
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& text, int number) -> std::vector<step> {
        if (number == 0) {
            std::vector<step> steps{{step_kind::send, stream_head(text)}};
            add_events(steps, 1, last_before_pause);
            steps.push_back({step_kind::reset, ""});
            return steps;
        }
        if (number <= refusals) {
            return {{step_kind::send, fleet::signed_answer(text, 503, "full",
                                                           "Endivejunction-Not-Executed: 1\r\n")}};
        }
        return serve(text, number);
    });
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    CHECK(joined_chunks(answer_to(fixture, "/resumed/x")) == whole_stream());
}

TEST_CASE("a stream that was begun is not cut while the retry budget is spent")
{
    daemon_fixture fixture;
    fixture.settings.budget = {0, 1, milliseconds(500)};
    const endpoint_stand_in engine([](const std::string& text, int number) {
        if (number == 2) {
            return serve(text, number);
        }
        // Each engine breaks off after three more events.
        std::vector<step> steps{{step_kind::send, stream_head(text)}};
        add_events(steps, first_event(text), first_event(text) + 2);
        steps.push_back({step_kind::reset, ""});
        return steps;
    });
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    CHECK(joined_chunks(answer_to(fixture, "/resumed/x")) == whole_stream());
    CHECK(engine.requests().size() == 3);
}

TEST_CASE("an unsigned answer without an end to a stream is abandoned at the size limit")
{
    constexpr std::size_t more_than_limit = std::size_t{20} << 20;
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string&, int) -> std::vector<step> {
        return {{step_kind::send, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n"},
                {step_kind::send, std::string(more_than_limit, 'x')},
                {step_kind::hang, ""}};
    });
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    CHECK(answer_to(fixture, "/whole/x").find(" 502 ") != std::string::npos);
}

TEST_CASE("a stream goes on when its route and service are removed while it runs")
{
    daemon_fixture fixture;
    endpoint_stand_in engine([](const std::string& text, int) {
        std::vector<step> steps{{step_kind::send, stream_head(text)}};
        add_events(steps, 1, last_before_pause);
        steps.push_back({step_kind::hold, ""});
        add_events(steps, last_before_pause + 1, last_event);
        steps.push_back({step_kind::send, fleet::last_chunk()});
        return steps;
    });
    fixture.add("i-1", "llm", engine);
    start(fixture, 1);
    caller one(fixture.listen_address());
    one.send(stream_request("/resumed/x"));
    REQUIRE(one.read_until("word5").find("word5") != std::string::npos);
    fixture.store.put("op/config", R"({"version":2,"routes":[],"services":[]})");
    REQUIRE(daemon_fixture::wait_until(
        [&] { return fixture.metrics().find("configuration_version 2\n") != std::string::npos; }));
    fixture.store.remove("servers/i-1");
    REQUIRE(fixture.wait_for_endpoints(0));
    engine.release();
    CHECK(joined_chunks(one.read_answer()) == whole_stream());
}

} // namespace ej::forward_tests
