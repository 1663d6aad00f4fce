#include "process_log.h"

#include "caller.h"
#include "daemon_fixture.h"

#include <harness/child_process.h>

#include <catch2/catch.hpp>

#include <signal.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace ej::process_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;
using forward_tests::caller;
using forward_tests::daemon_fixture;
using forward_tests::request;
using std::chrono::milliseconds;

std::vector<step> serve_later(const std::string& request, int)
{
    return {{step_kind::wait, "", milliseconds(1'000)},
            {step_kind::send, signed_answer(request, 200, "done")}};
}

/// Starts a daemon and waits until it has logged its addresses.
std::unique_ptr<harness::child_process> start_daemon(const core::address& store,
                                                     const process_log& log)
{
    auto started = harness::child_process::start_logging(
        std::string(EJ_PROGRAM_FOLDER) + "/endivejunction",
        {"forward", "--vm", "vm-1", "--failure-domain", "z1", "--listen", "127.0.0.1:0",
         "--ready-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--store",
         core::to_string(store)},
        log.path());
    if (!started.ok() || !daemon_fixture::wait_until([&] { return log.has("callers="); })) {
        throw std::runtime_error("the daemon did not start");
    }
    return *std::move(started);
}

/// Waits until the daemon's health check answers `status`; false after 20 s.
bool answers_ready(const core::address& where, const std::string& status)
{
    return daemon_fixture::wait_until([&] {
        caller connection(where);
        connection.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
        return connection.read_answer().find(status) != std::string::npos;
    });
}

} // namespace

TEST_CASE("a daemon that gets SIGHUP during its shutdown answers the requests that it has")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve_later);
    fixture.add("i-1", "app", app);
    fixture.configure(1);
    const process_log log;
    const auto process = start_daemon(fixture.store.address(), log);
    const auto ready = log.address("ready");
    REQUIRE(answers_ready(ready, " 200 "));
    REQUIRE(daemon_fixture::wait_until([&] { return log.has("endpoint=i-1"); }));
    caller waiting(log.address("callers"));
    waiting.send(request("POST", "/act/x", "a", "b"));
    REQUIRE(daemon_fixture::wait_until([&] { return app.requests().size() == 1; }));
    process->signal(SIGTERM);
    REQUIRE(answers_ready(ready, " 503 "));
    process->signal(SIGHUP);
    CHECK(waiting.read_answer().starts_with("HTTP/1.1 200"));
    CHECK(process->wait() == 0);
}

} // namespace ej::process_tests
