#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::event_chunk;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the balancer needs to notice the shutdown; a usual generation takes longer.
constexpr seconds short_grace{4};
// Well before the end of `short_grace`.
constexpr milliseconds soon{1'500};

const std::string usual_generation = "Endivejunction-Token-Usage: 5000,780\r\n";
const std::string short_generation = "Endivejunction-Token-Usage: 500,60\r\n";
const std::string large_generation = "Endivejunction-Token-Usage: 45000,6000\r\n";

/// Starts the daemon with one endpoint and the routes /long/ (generations) and /slow/
/// (non-idempotent), which allow a minute.
void start(daemon_fixture& fixture)
{
    fixture.settings.grace = short_grace;
    fixture.configure(1, R"(,{"name":"long","host":"h.example","prefix":"/long/","kind":)"
                         R"("streaming","timeoutMs":60000,"service":"llm","maxAttempts":5,)"
                         R"("sticky":true,"resumable":true,"gapAimMs":30000})"
                         R"(,{"name":"slow","host":"h.example","prefix":"/slow/","kind":)"
                         R"("non_idempotent","timeoutMs":60000,"service":"app","maxAttempts":1})");
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
}

std::string head_of(const std::string& path, const std::string& id, const std::string& more = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: " + id +
           "\r\nAuthorization: Token k1\r\n" + more + "Content-Length: 6\r\n\r\n";
}

std::string request_to(const std::string& path, const std::string& id, const std::string& more = {})
{
    return head_of(path, id, more) + "prompt";
}

std::vector<step> serve_at_once(const std::string& request, int)
{
    return {{step_kind::send, signed_answer(request, 200, "done")}};
}

std::vector<step> stream_at_once(const std::string& request, int)
{
    return {{step_kind::send, fleet::stream_head(request) + event_chunk(1) + fleet::last_chunk()}};
}

/// Sends the head of a stream and holds.
std::vector<step> begin_and_hold(const std::string& request, int)
{
    return {{step_kind::send, fleet::stream_head(request) + event_chunk(1)},
            {step_kind::hold, ""},
            {step_kind::send, event_chunk(2) + fleet::last_chunk()}};
}

/// Refuses and asks for a pause that outlasts `short_grace`.
std::vector<step> ask_for_pause(const std::string& request, int)
{
    return {{step_kind::send, "HTTP/1.1 503 X\r\nEndivejunction-Not-Executed: 1\r\n"
                              "Retry-After: 5\r\nEndivejunction-Attempt-Id: " +
                                  fleet::header_value(request, "Endivejunction-Attempt-Id") +
                                  "\r\nContent-Length: 0\r\n\r\n"}};
}

/// Waits until `count` requests wait for a pause to end.
void wait_for_pauses(const daemon_fixture& fixture, int count)
{
    REQUIRE(daemon_fixture::wait_until([&] {
        return fixture.metrics().find("backoff_waits_total " + std::to_string(count)) !=
               std::string::npos;
    }));
}

/// A daemon's shutdown, which begins at once.
class shutdown {
public:
    explicit shutdown(const daemon_fixture& fixture)
        : began_(std::chrono::steady_clock::now()),
          ended_(std::async(std::launch::async, [&fixture] { fixture.daemon->drain(); }))
    {
        REQUIRE(daemon_fixture::wait_until([&] { return fixture.ready_status() == 503; }));
    }

    /// True before the daemon would end its calls.
    [[nodiscard]] bool is_early() const { return std::chrono::steady_clock::now() - began_ < soon; }

    void wait() { ended_.get(); }

private:
    std::chrono::steady_clock::time_point began_;
    std::future<void> ended_;
};

/// True if `answer` says that the request has not run since the daemon is leaving.
bool refused_as_leaving(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 503") &&
           answer.find("Retry-After: ") != std::string::npos && answer.ends_with("leaving\n");
}

} // namespace

TEST_CASE("a generation that begins in a daemon's grace and would be cut at its end is refused")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine(begin_and_hold);
    fixture.add("i-1", "llm", engine);
    start(fixture);
    shutdown leaving(fixture);
    caller late(fixture.listen_address());
    late.send(request_to("/long/x", "a", usual_generation));
    CHECK(refused_as_leaving(late.read_answer()));
    CHECK(leaving.is_early());
    CHECK(engine.requests().empty());
    leaving.wait();
}

TEST_CASE("a generation that ends within a daemon's grace is served in it")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine(stream_at_once);
    fixture.add("i-1", "llm", engine);
    start(fixture);
    shutdown leaving(fixture);
    caller late(fixture.listen_address());
    late.send(request_to("/long/x", "a", short_generation));
    CHECK(late.read_answer().ends_with("0\r\n\r\n"));
    leaving.wait();
}

TEST_CASE("a generation that waits for a place as its daemon leaves is refused at once if it would "
          "be cut")
{
    daemon_fixture fixture;
    endpoint_stand_in engine(begin_and_hold);
    fixture.add("i-1", "llm", engine);
    start(fixture);
    caller first(fixture.listen_address());
    first.send(request_to("/long/x", "first", large_generation));
    REQUIRE(first.read_until("word1").find("word1") != std::string::npos);
    caller waiting(fixture.listen_address());
    waiting.send(request_to("/long/x", "waits", usual_generation));
    REQUIRE(daemon_fixture::wait_until([&] {
        return fixture.metrics().find(R"(placements_total{step="wait"})") != std::string::npos;
    }));
    shutdown leaving(fixture);
    CHECK(refused_as_leaving(waiting.read_answer()));
    CHECK(leaving.is_early());
    engine.release();
    CHECK(first.read_answer().ends_with("0\r\n\r\n"));
    CHECK(engine.requests().size() == 1);
    leaving.wait();
}

TEST_CASE("a non-idempotent request that may outlast its daemon's grace is refused in it")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(
        [](const std::string&, int) { return std::vector<step>{{step_kind::hang}}; });
    fixture.add("i-1", "app", app);
    start(fixture);
    shutdown leaving(fixture);
    caller late(fixture.listen_address());
    late.send(request_to("/slow/x", "a"));
    CHECK(refused_as_leaving(late.read_answer()));
    CHECK(leaving.is_early());
    CHECK(app.requests().empty());
    leaving.wait();
}

TEST_CASE("a request whose body arrives in a daemon's grace is refused if it may outlast it")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve_at_once);
    fixture.add("i-1", "app", app);
    start(fixture);
    caller slow(fixture.listen_address());
    slow.send(head_of("/slow/x", "a"));
    shutdown leaving(fixture);
    slow.send("prompt");
    CHECK(refused_as_leaving(slow.read_answer()));
    CHECK(leaving.is_early());
    CHECK(app.requests().empty());
    leaving.wait();
}

TEST_CASE("a request that waits for its endpoint's pause as its daemon leaves is refused at once")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(ask_for_pause);
    fixture.add("i-1", "app", app);
    start(fixture);
    caller waiting(fixture.listen_address());
    waiting.send(request_to("/slow/x", "waits"));
    wait_for_pauses(fixture, 1);
    shutdown leaving(fixture);
    CHECK(refused_as_leaving(waiting.read_answer()));
    CHECK(leaving.is_early());
    leaving.wait();
}

TEST_CASE("a generation that finds its engines in a pause in a daemon's grace is refused at once")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine(ask_for_pause);
    fixture.add("i-1", "llm", engine);
    start(fixture);
    caller first(fixture.listen_address());
    first.send(request_to("/long/x", "first", usual_generation));
    wait_for_pauses(fixture, 1);
    shutdown leaving(fixture);
    CHECK(refused_as_leaving(first.read_answer()));
    caller late(fixture.listen_address());
    late.send(request_to("/long/x", "late", usual_generation));
    CHECK(refused_as_leaving(late.read_answer()));
    CHECK(leaving.is_early());
    leaving.wait();
}

} // namespace ej::forward_tests
