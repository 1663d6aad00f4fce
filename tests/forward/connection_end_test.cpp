#include "caller.h"
#include "daemon_fixture.h"
#include "interrupting_signal.h"

#include <catch2/catch.hpp>

#include <pthread.h>
#include <signal.h>

#include <future>
#include <stdexcept>
#include <string>
#include <vector>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;
using std::chrono::milliseconds;

// A stream of this many events lasts until the daemon has begun its shutdown.
constexpr int events_past_shutdown = 12;
constexpr milliseconds event_interval{100};

std::vector<step> stream_past_shutdown(const std::string& request, int)
{
    std::vector<step> steps{{step_kind::send, fleet::stream_head(request)}};
    for (int event = 1; event <= events_past_shutdown; ++event) {
        steps.push_back({step_kind::send, fleet::event_chunk(event)});
        steps.push_back({step_kind::wait, "", event_interval});
    }
    steps.push_back({step_kind::send, fleet::last_chunk()});
    return steps;
}

std::vector<step> serve(const std::string& request, int)
{
    return {{step_kind::send, signed_answer(request, 200, "done")}};
}

// Longer than a daemon without requests needs to end.
constexpr milliseconds past_end{600};

std::vector<step> serve_past_end(const std::string& request, int)
{
    return {{step_kind::wait, "", past_end},
            {step_kind::send, signed_answer(request, 200, "done")}};
}

bool refuses_connections(const core::address& where)
{
    try {
        const caller probe(where);
        return false;
    }
    catch (const std::runtime_error&) {
        return true;
    }
}

} // namespace

TEST_CASE("a request that was read during a stream is answered by a leaving daemon")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine(stream_past_shutdown);
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "llm", engine);
    fixture.add("i-2", "app", app);
    fixture.configure_and_start(2);
    caller kept(fixture.listen_address());
    kept.send(request("POST", "/gen/x", "a", "b"));
    REQUIRE(kept.read_until("word1").find("word1") != std::string::npos);
    auto left = std::async(std::launch::async, [&] { fixture.daemon->drain(); });
    REQUIRE(daemon_fixture::wait_until([&] { return fixture.ready_status() == 503; }));
    kept.send(request("POST", "/act/x", "c", "d"));
    CHECK(kept.read_answer().ends_with("0\r\n\r\n"));
    const auto answer = kept.read_answer();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    left.get();
}

TEST_CASE("a request that is complete as the last call of a leaving daemon ends is answered")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve_past_end);
    fixture.add("i-1", "app", app);
    fixture.configure(1, R"(,{"name":"long","host":"h.example","prefix":"/long/","kind":)"
                         R"("non_idempotent","timeoutMs":60000,"service":"app","maxAttempts":1})");
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
    const auto where = fixture.listen_address();
    const std::string body(10'000, 'b');
    const auto text = "POST /long/x HTTP/1.1\r\nHost: h.example\r\n"
                      "Endivejunction-Attempt-Id: a\r\nAuthorization: Token k1\r\n"
                      "Content-Length: 10000\r\n\r\n" +
                      body;
    const auto head_size = text.size() - body.size();
    caller slow(where);
    slow.send(text.substr(0, head_size));
    auto left = std::async(std::launch::async, [&] {
        fixture.daemon->drain();
        fixture.daemon.reset(); // As at the end of the process.
    });
    auto sent = head_size;
    REQUIRE(daemon_fixture::wait_until([&] {
        slow.send(text.substr(sent++, 1)); // Keeps the idle limit from passing.
        return refuses_connections(where);
    }));
    slow.send(text.substr(sent));
    CHECK(slow.read_answer().starts_with("HTTP/1.1 503"));
    CHECK(app.requests().empty());
    left.get();
}

TEST_CASE("a request is answered while more is pipelined behind it than the daemon reads ahead")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve_past_end);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const std::string body(90'000, 'b');
    caller kept(fixture.listen_address());
    kept.send(request("POST", "/act/x", "c", "d"));
    REQUIRE(daemon_fixture::wait_until([&] { return app.requests().size() == 1; }));
    kept.send(request("POST", "/act/x", "e", body));
    CHECK(kept.read_answer().starts_with("HTTP/1.1 200"));
    CHECK(kept.read_answer().starts_with("HTTP/1.1 200"));
}

TEST_CASE("a signal that interrupts the shutdown does not abort it")
{
    const interrupting_signal installed;
    daemon_fixture fixture;
    fixture.configure_and_start(0);
    std::promise<pthread_t> draining;
    auto left = std::async(std::launch::async, [&] {
        draining.set_value(::pthread_self());
        fixture.daemon->drain();
    });
    const auto thread = draining.get_future().get();
    REQUIRE(daemon_fixture::wait_until([&] { return fixture.ready_status() == 503; }));
    ::pthread_kill(thread, SIGUSR1);
    CHECK_NOTHROW(left.get());
}

} // namespace ej::forward_tests
