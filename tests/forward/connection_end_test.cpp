#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <future>
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

} // namespace ej::forward_tests
