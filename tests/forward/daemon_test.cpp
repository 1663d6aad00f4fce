#include "caller.h"
#include "world.h"

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

bool shows(world& in, const std::string& metric)
{
    return in.metrics().find(metric) != std::string::npos;
}

bool closes_after_success(caller& from)
{
    const auto answer = from.read_answer();
    return answer.find(" 200 ") != std::string::npos &&
           answer.find("Connection: close") != std::string::npos &&
           from.closed_within(milliseconds(1'000));
}

int status_of(world& in, const std::string& text)
{
    caller one(in.callers());
    one.send(text);
    const auto answer = one.read_answer();
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
    world in;
    auto started = front::front_daemon::start(in.settings, in.where());
    REQUIRE(started.ok());
    in.daemon = *std::move(started);
    CHECK(in.ready() == 503);
    CHECK(status_of(in, request("GET", "/read/x", "a")) == 503);
    in.configure(1);
    CHECK(world::eventually([&] { return in.ready() == 200; }));
}

TEST_CASE("a new configuration is in force, an older one never again")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-1", "app", app);
    in.configure(5);
    in.start();
    REQUIRE(in.knows_endpoints(1));
    CHECK(status_of(in, request("GET", "/new/x", "a")) == 404);
    in.configure(9, extra_route("/new/"));
    CHECK(world::eventually([&] { return status_of(in, request("GET", "/new/x", "b")) == 200; }));
    in.configure(7);
    in.store.put("servers/marker", "not an entry");
    CHECK(world::eventually([&] { return shows(in, "endpoint_faults_total 1"); }));
    CHECK(status_of(in, request("GET", "/new/x", "c")) == 200);
}

TEST_CASE("faulty parts of a configuration are left out, the others hold")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-1", "app", app);
    in.configure(1, R"(,{"name":"x","host":"h.example","prefix":"/bad","kind":"odd"},7)");
    in.start();
    REQUIRE(in.knows_endpoints(1));
    CHECK(status_of(in, request("GET", "/read/x", "a")) == 200);
    CHECK(shows(in, "configuration_faults_total"));
    in.store.put("op/config", "{no json");
    in.configure(2, extra_route("/new/"));
    CHECK(world::eventually([&] { return status_of(in, request("GET", "/new/x", "b")) == 200; }));
}

TEST_CASE("an endpoint that leaves gets no new requests, also when its entry comes back")
{
    world in;
    const endpoint_stand_in staying(serve);
    const endpoint_stand_in leaving(serve);
    in.add("i-1", "app", staying, "z2");
    in.add("i-2", "app", leaving);
    in.run(2);
    in.add("i-2", "app", leaving, "z1", "draining");
    REQUIRE(in.knows_endpoints(1));
    in.add("i-2", "app", leaving);
    const auto before = leaving.requests().size();
    for (int number = 0; number < 10; ++number) {
        CHECK(status_of(in, request("GET", "/read/x", "a" + std::to_string(number))) == 200);
    }
    CHECK(leaving.requests().size() == before);
}

TEST_CASE("what was known holds while the store is away")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-1", "app", app);
    in.run(1);
    in.store.be_away(true);
    CHECK(world::eventually([&] { return shows(in, "endivejunction_store_away 1"); }));
    CHECK(status_of(in, request("GET", "/read/x", "a")) == 200);
    in.store.remove("servers/i-1"); // Lapsed meanwhile.
    in.store.be_away(false);
    CHECK(world::eventually([&] { return shows(in, "endivejunction_store_away 0"); }));
    CHECK(status_of(in, request("GET", "/read/x", "b")) == 200);
    CHECK(in.knows_endpoints(0)); // Still missing after the grace: gone.
}

TEST_CASE("after a dropped history everything is listed again")
{
    world in;
    const endpoint_stand_in app(serve);
    in.run(0);
    in.store.drop_history();
    in.add("i-1", "app", app);
    CHECK(in.knows_endpoints(1));
}

TEST_CASE("a leaving daemon is not ready, finishes its calls and takes no stream")
{
    world in;
    const endpoint_stand_in app([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::wait, "", milliseconds(1'500)},
                {step_kind::send, signed_answer(text, 200, "done")}};
    });
    in.add("i-1", "app", app);
    in.run(1);
    caller kept(in.callers());
    kept.send(request("POST", "/act/x", "a", "b"));
    REQUIRE(world::eventually([&] { return app.requests().size() == 1; }));
    auto left = std::async(std::launch::async, [&] { in.daemon->leave(); });
    CHECK(world::eventually([&] { return in.ready() == 503; }));
    CHECK(closes_after_success(kept));
    caller later(in.callers()); // Keeps the daemon for as long as its answer takes.
    later.send(request("POST", "/act/x", "c", "b"));
    CHECK(world::eventually([&] {
        return status_of(in, request("POST", "/gen/x", "s")) == 503 &&
               in.metrics().find(R"(refusals_total{reason="leaving"})") != std::string::npos;
    }));
    CHECK(later.read_answer().find(" 200 ") != std::string::npos);
    left.get();
}

TEST_CASE("a call that outlasts the grace of a leaving daemon gets a final answer")
{
    world in;
    in.settings.grace = std::chrono::seconds(3);
    const endpoint_stand_in app(
        [](const std::string&, int) { return std::vector<step>{{step_kind::hang}}; });
    in.add("i-1", "app", app);
    in.configure(1, R"(,{"name":"long","host":"h.example","prefix":"/long/","kind":)"
                    R"("non_idempotent","timeoutMs":60000,"service":"app","maxAttempts":1})");
    in.start();
    REQUIRE(in.knows_endpoints(1));
    caller waiting(in.callers());
    waiting.send("POST /long/x HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: a\r\n"
                 "Authorization: Token k1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(world::eventually([&] { return !app.requests().empty(); }));
    in.daemon->leave();
    // It may have run: no promise.
    CHECK(waiting.read_answer().starts_with("HTTP/1.1 504"));
}

TEST_CASE("a connection whose stream began before the daemon leaves takes no further request")
{
    world in;
    const endpoint_stand_in engine([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::send, fleet::stream_head(text) + fleet::event_chunk(1)},
                {step_kind::wait, "", milliseconds(250)},
                {step_kind::send, fleet::event_chunk(2) + fleet::last_chunk()}};
    });
    in.add("i-1", "llm", engine);
    in.run(1);
    caller kept(in.callers());
    kept.send(request("POST", "/gen/x", "a", "b"));
    REQUIRE(kept.read_until("word1").find("word1") != std::string::npos);
    auto left = std::async(std::launch::async, [&] { in.daemon->leave(); });
    CHECK(kept.read_answer().ends_with("0\r\n\r\n"));
    CHECK(kept.closed_within(milliseconds(1'000)));
    left.get();
}

TEST_CASE("a stale entry at a reused address is not used")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-old", "app", app, "z1", "ready", 1'000);
    in.add("i-new", "app", app, "z1", "ready", 2'000);
    in.configure(1);
    in.start();
    CHECK(in.knows_endpoints(1));
    CHECK(status_of(in, request("GET", "/read/x", "a")) == 200);
    CHECK(fleet::field_of(app.requests().back(), "Endivejunction-Expected-Instance") == "i-new");
}

} // namespace ej::forward_tests
