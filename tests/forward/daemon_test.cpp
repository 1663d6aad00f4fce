#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;
using std::chrono::milliseconds;

std::vector<step> serve(const std::string& request, int)
{
    return {{step_kind::send, signed_answer(request, 200, "done")}};
}

bool metrics_contain(daemon_fixture& fixture, const std::string& metric)
{
    return fixture.metrics().find(metric) != std::string::npos;
}

bool closes_after_success(caller& from)
{
    const auto answer = from.read_answer();
    return answer.find(" 200 ") != std::string::npos &&
           answer.find("Connection: close") != std::string::npos &&
           from.closed_within(milliseconds(1'000));
}

int status_of(daemon_fixture& fixture, const std::string& text)
{
    caller connection(fixture.listen_address());
    connection.send(text);
    const auto answer = connection.read_answer();
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

std::string extra_route(const std::string& prefix)
{
    return R"(,{"name":"extra","host":"h.example","prefix":")" + prefix +
           R"(","kind":"idempotent","timeoutMs":1000,"service":"app","maxAttempts":1})";
}

} // namespace

TEST_CASE("a daemon without a configuration is not ready and answers 503")
{
    daemon_fixture fixture;
    auto started = front::front_daemon::start(fixture.settings, fixture.platform_site());
    REQUIRE(started.ok());
    fixture.daemon = *std::move(started);
    CHECK(fixture.ready_status() == 503);
    CHECK(status_of(fixture, request("GET", "/read/x", "a")) == 503);
    fixture.configure(1);
    CHECK(daemon_fixture::wait_until([&] { return fixture.ready_status() == 200; }));
}

TEST_CASE("a newer configuration is applied and an older one is ignored")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure(5);
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(status_of(fixture, request("GET", "/new/x", "a")) == 404);
    fixture.configure(9, extra_route("/new/"));
    CHECK(daemon_fixture::wait_until(
        [&] { return status_of(fixture, request("GET", "/new/x", "b")) == 200; }));
    fixture.configure(7);
    fixture.store.put("servers/marker", "not an entry");
    CHECK(daemon_fixture::wait_until(
        [&] { return metrics_contain(fixture, "endpoint_faults_total 1"); }));
    CHECK(status_of(fixture, request("GET", "/new/x", "c")) == 200);
}

TEST_CASE("invalid parts of a configuration are skipped and the valid ones apply")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure(1, R"(,{"name":"x","host":"h.example","prefix":"/bad","kind":"odd"},7)");
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(status_of(fixture, request("GET", "/read/x", "a")) == 200);
    CHECK(metrics_contain(fixture, "configuration_faults_total"));
    fixture.store.put("op/config", "{no json");
    fixture.configure(2, extra_route("/new/"));
    CHECK(daemon_fixture::wait_until(
        [&] { return status_of(fixture, request("GET", "/new/x", "b")) == 200; }));
}

TEST_CASE("a draining endpoint gets no new requests even when it is listed as ready again")
{
    daemon_fixture fixture;
    const endpoint_stand_in staying(serve);
    const endpoint_stand_in leaving(serve);
    fixture.add("i-1", "app", staying, "z2");
    fixture.add("i-2", "app", leaving);
    fixture.configure_and_start(2);
    fixture.add("i-2", "app", leaving, "z1", "draining");
    REQUIRE(fixture.wait_for_endpoints(1));
    fixture.add("i-2", "app", leaving);
    const auto before = leaving.requests().size();
    for (int number = 0; number < 10; ++number) {
        CHECK(status_of(fixture, request("GET", "/read/x", "a" + std::to_string(number))) == 200);
    }
    CHECK(leaving.requests().size() == before);
}

TEST_CASE("the known endpoints stay in use while the store is unreachable")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    fixture.store.set_unavailable(true);
    CHECK(daemon_fixture::wait_until(
        [&] { return metrics_contain(fixture, "endivejunction_store_away 1"); }));
    CHECK(status_of(fixture, request("GET", "/read/x", "a")) == 200);
    fixture.store.remove("servers/i-1"); // The entry expires during the outage.
    fixture.store.set_unavailable(false);
    CHECK(daemon_fixture::wait_until(
        [&] { return metrics_contain(fixture, "endivejunction_store_away 0"); }));
    CHECK(status_of(fixture, request("GET", "/read/x", "b")) == 200);
    CHECK(fixture.wait_for_endpoints(0)); // Removed because it is still missing after the grace.
}

TEST_CASE("endpoints are listed again after the store dropped its history")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.configure_and_start(0);
    fixture.store.drop_history();
    fixture.add("i-1", "app", app);
    CHECK(fixture.wait_for_endpoints(1));
}

TEST_CASE("a leaving daemon is not ready, finishes its calls and refuses new streams")
{
    daemon_fixture fixture;
    const endpoint_stand_in app([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::wait, "", milliseconds(1'500)},
                {step_kind::send, signed_answer(text, 200, "done")}};
    });
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    caller kept(fixture.listen_address());
    kept.send(request("POST", "/act/x", "a", "b"));
    REQUIRE(daemon_fixture::wait_until([&] { return app.requests().size() == 1; }));
    auto left = std::async(std::launch::async, [&] { fixture.daemon->drain(); });
    CHECK(daemon_fixture::wait_until([&] { return fixture.ready_status() == 503; }));
    CHECK(closes_after_success(kept));
    caller later(fixture.listen_address()); // Keeps the daemon running until it is answered.
    later.send(request("POST", "/act/x", "c", "b"));
    CHECK(daemon_fixture::wait_until([&] {
        return status_of(fixture, request("POST", "/gen/x", "s")) == 503 &&
               fixture.metrics().find(R"(refusals_total{reason="leaving"})") != std::string::npos;
    }));
    CHECK(later.read_answer().find(" 200 ") != std::string::npos);
    left.get();
}

TEST_CASE("a call that outlasts the grace of a leaving daemon is answered 504")
{
    daemon_fixture fixture;
    fixture.settings.grace = std::chrono::seconds(3);
    const endpoint_stand_in app(
        [](const std::string&, int) { return std::vector<step>{{step_kind::hang}}; });
    fixture.add("i-1", "app", app);
    fixture.configure(1, R"(,{"name":"long","host":"h.example","prefix":"/long/","kind":)"
                         R"("non_idempotent","timeoutMs":60000,"service":"app","maxAttempts":1})");
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
    caller waiting(fixture.listen_address());
    waiting.send("POST /long/x HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: a\r\n"
                 "Authorization: Token k1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(daemon_fixture::wait_until([&] { return !app.requests().empty(); }));
    fixture.daemon->drain();
    // The call may have run, so the status must not mean that it did not.
    CHECK(waiting.read_answer().starts_with("HTTP/1.1 504"));
}

TEST_CASE("a leaving daemon finishes an open stream and then closes its connection")
{
    daemon_fixture fixture;
    const endpoint_stand_in engine([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::send, fleet::stream_head(text) + fleet::event_chunk(1)},
                {step_kind::wait, "", milliseconds(250)},
                {step_kind::send, fleet::event_chunk(2) + fleet::last_chunk()}};
    });
    fixture.add("i-1", "llm", engine);
    fixture.configure_and_start(1);
    caller kept(fixture.listen_address());
    kept.send(request("POST", "/gen/x", "a", "b"));
    REQUIRE(kept.read_until("word1").find("word1") != std::string::npos);
    auto left = std::async(std::launch::async, [&] { fixture.daemon->drain(); });
    CHECK(kept.read_answer().ends_with("0\r\n\r\n"));
    CHECK(kept.closed_within(milliseconds(1'000)));
    left.get();
}

TEST_CASE("a stale entry at a reused address is not used")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-old", "app", app, "z1", "ready", 1'000);
    fixture.add("i-new", "app", app, "z1", "ready", 2'000);
    fixture.configure(1);
    fixture.start();
    CHECK(fixture.wait_for_endpoints(1));
    CHECK(status_of(fixture, request("GET", "/read/x", "a")) == 200);
    CHECK(fleet::header_value(app.requests().back(), "Endivejunction-Expected-Instance") ==
          "i-new");
}

} // namespace ej::forward_tests
