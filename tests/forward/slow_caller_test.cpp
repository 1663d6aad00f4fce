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

constexpr std::chrono::milliseconds write_timeout{1'500};
constexpr int small_buffer = 16'384;
// More than the kernel buffers for a connection.
constexpr std::size_t body_bytes = 12'000'000;

std::string long_body()
{
    std::string body(body_bytes, 'x');
    body.back() = 'y';
    return body;
}

std::vector<step> serve_long_body(const std::string& request, int)
{
    return {{step_kind::send, fleet::signed_answer(request, 200, long_body())}};
}

void start(daemon_fixture& fixture, const endpoint_stand_in& app)
{
    fixture.settings.write_timeout = write_timeout;
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
}

} // namespace

TEST_CASE("an answer is not cut while its caller reads slowly but steadily")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve_long_body);
    start(fixture, app);
    caller slow(fixture.listen_address(), small_buffer);
    slow.send(request("GET", "/read/x", "a"));
    slow.read_slowly(2 * write_timeout);
    const auto answer = slow.read_answer();
    CHECK(answer.size() > body_bytes);
    CHECK(answer.back() == 'y');
}

TEST_CASE("a caller that stops reading its answer is disconnected at the write timeout")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve_long_body);
    start(fixture, app);
    const caller idle(fixture.listen_address(), small_buffer);
    idle.send(request("GET", "/read/x", "a"));
    CHECK(daemon_fixture::wait_until([&] {
        return fixture.metrics().find("caller_connections_ended_total{end=\"write_timeout\"") !=
               std::string::npos;
    }));
}

} // namespace ej::forward_tests
