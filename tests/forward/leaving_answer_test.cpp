#include "caller.h"
#include "daemon_fixture.h"
#include "daemon_pair.h"

#include <catch2/catch.hpp>

#include <algorithm>

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

std::string refusal(int status)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nEndivejunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string send_request(const daemon_fixture& fixture, const std::string& path,
                         const std::string& id)
{
    caller connection(fixture.listen_address());
    connection.send(request("POST", path, id, "b"));
    return connection.read_answer();
}

bool served(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 200 ");
}

/// The number of `count` requests that were answered with success.
int served_requests(const daemon_fixture& fixture, int count = 10)
{
    int done = 0;
    for (int number = 0; number < count; ++number) {
        done += served(send_request(fixture, "/act/x", "later" + std::to_string(number))) ? 1 : 0;
    }
    return done;
}

/// Sends a request to the only endpoint, `leaving`, which says in its answer that it leaves.
void hear_that_it_leaves(const daemon_fixture& fixture, endpoint_stand_in& leaving)
{
    leaving.add_to_answers();
    static_cast<void>(send_request(fixture, "/act/x", "first"));
}

} // namespace

TEST_CASE("an endpoint that says in any answer that it leaves gets no further requests while its "
          "registration says ready")
{
    const auto answer = GENERATE(
        endpoint_stand_in::script(serve),
        [](const std::string& text, int) -> std::vector<step> {
            return {{step_kind::send, signed_answer(text, 500, "failed")}};
        },
        [](const std::string&, int) -> std::vector<step> {
            return {{step_kind::send, refusal(503)}};
        },
        [](const std::string& text, int) -> std::vector<step> {
            return {{step_kind::send, signed_answer(text, 404, "none")}};
        });
    daemon_fixture fixture;
    endpoint_stand_in leaving(answer);
    const endpoint_stand_in staying(serve);
    fixture.add("i-1", "app", leaving);
    fixture.configure_and_start(1);
    hear_that_it_leaves(fixture, leaving);
    fixture.add("i-2", "app", staying, "z2");
    CHECK(daemon_fixture::wait_until(
        [&] { return served(send_request(fixture, "/act/x", "second")); }));
    CHECK(served_requests(fixture) == 10);
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("an endpoint that says on a kept connection that it leaves gets no further requests")
{
    daemon_fixture fixture;
    endpoint_stand_in leaving(serve);
    const endpoint_stand_in staying(serve);
    fixture.add("i-1", "app", leaving);
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/act/x", "a", "b"));
    REQUIRE(served(connection.read_answer()));
    leaving.add_to_answers();
    connection.send(request("POST", "/act/x", "b", "b"));
    REQUIRE(served(connection.read_answer()));
    REQUIRE(leaving.connections() == 1);
    fixture.add("i-2", "app", staying, "z2");
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(served_requests(fixture) == 10);
    CHECK(leaving.requests().size() == 2);
}

TEST_CASE("an endpoint that says during a store outage that it leaves gets no requests in the "
          "outage and none after it")
{
    daemon_fixture fixture;
    endpoint_stand_in leaving(serve);
    const endpoint_stand_in staying(serve);
    const endpoint_stand_in other(serve);
    fixture.add("i-1", "app", leaving);
    fixture.add("i-2", "app", staying, "z2");
    fixture.configure_and_start(2);
    fixture.store.set_unavailable(true);
    REQUIRE(daemon_fixture::wait_until([&] {
        return fixture.metrics().find("endivejunction_store_away 1") != std::string::npos;
    }));
    leaving.add_to_answers();
    REQUIRE(daemon_fixture::wait_until([&] {
        static_cast<void>(send_request(fixture, "/act/x", "first"));
        return !leaving.requests().empty();
    }));
    const auto before = leaving.requests().size();
    CHECK(served_requests(fixture) == 10);
    fixture.store.set_unavailable(false);
    fixture.add("i-1", "app", leaving, "z3"); // Written anew, still ready.
    fixture.add("i-3", "llm", other);         // Shows that the daemon has read the store.
    REQUIRE(fixture.wait_for_endpoints(2));
    CHECK(served_requests(fixture) == 10);
    CHECK(leaving.requests().size() == before);
}

TEST_CASE("requests are refused at once when every endpoint has said that it leaves")
{
    daemon_fixture fixture;
    endpoint_stand_in leaving(serve);
    fixture.add("i-1", "app", leaving);
    fixture.configure_and_start(1);
    hear_that_it_leaves(fixture, leaving);
    const auto path = GENERATE(std::string("/act/x"), std::string("/read/x"));
    const auto began = std::chrono::steady_clock::now();
    CHECK(send_request(fixture, path, "second").starts_with("HTTP/1.1 503 "));
    // The deadline of the request is 1.9 s.
    CHECK(std::chrono::steady_clock::now() - began < milliseconds(1'000));
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("a hedge does not go to an endpoint that has said that it leaves")
{
    daemon_fixture fixture;
    endpoint_stand_in leaving(serve);
    const endpoint_stand_in slow([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::wait, "", milliseconds(500)},
                {step_kind::send, signed_answer(text, 200, "done")}};
    });
    fixture.add("i-1", "app", leaving);
    fixture.configure_and_start(1);
    hear_that_it_leaves(fixture, leaving);
    fixture.add("i-2", "app", slow, "z2");
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(served(send_request(fixture, "/read/x", "second")));
    CHECK(slow.requests().size() == 1);
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("a new incarnation at the address of an endpoint that left gets requests")
{
    daemon_fixture fixture;
    endpoint_stand_in endpoint(serve);
    fixture.add("i-1", "app", endpoint);
    fixture.configure_and_start(1);
    hear_that_it_leaves(fixture, endpoint);
    REQUIRE_FALSE(served(send_request(fixture, "/act/x", "second")));
    endpoint.add_to_answers({});
    const auto name = GENERATE(std::string("i-1"), std::string("i-2"));
    fixture.add(name, "app", endpoint, "z1", "ready", 2);
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(served_requests(fixture) == 10);
}

TEST_CASE("an answer of another endpoint at the address does not make the expected one leave")
{
    daemon_fixture fixture;
    endpoint_stand_in endpoint([](const std::string& text, int number) -> std::vector<step> {
        return {{step_kind::send, number == 0 ? refusal(421) : signed_answer(text, 200, "done")}};
    });
    fixture.add("i-1", "app", endpoint);
    fixture.configure_and_start(1);
    hear_that_it_leaves(fixture, endpoint);
    CHECK(endpoint.requests().size() == 1);
    endpoint.add_to_answers({});
    CHECK(served_requests(fixture) == 10);
}

TEST_CASE("an answer to another request on a kept connection does not make the endpoint leave")
{
    daemon_fixture fixture;
    const endpoint_stand_in endpoint([](const std::string& text, int number) -> std::vector<step> {
        if (number != 1) {
            return serve(text, number);
        }
        const auto other = signed_answer("\r\nEndivejunction-Attempt-Id: other\r\n", 200, "x",
                                         "Server-Leaving: 1\r\n");
        return {{step_kind::send, other}, {step_kind::send, signed_answer(text, 200, "done")}};
    });
    fixture.add("i-1", "app", endpoint);
    fixture.configure_and_start(1);
    CHECK(served_requests(fixture) == 10);
}

TEST_CASE(
    "an endpoint that has left by an answer stays out of use when the settings are read again")
{
    daemon_fixture fixture;
    endpoint_stand_in leaving(serve);
    fixture.add("i-1", "app", leaving);
    fixture.configure_and_start(1);
    hear_that_it_leaves(fixture, leaving);
    fixture.daemon->reconfigure(fixture.settings);
    CHECK(served_requests(fixture) == 0);
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("a restarted daemon learns again from the first answer that an endpoint leaves")
{
    daemon_fixture fixture;
    endpoint_stand_in leaving(serve);
    const endpoint_stand_in staying(serve);
    fixture.add("i-1", "app", leaving);
    fixture.configure_and_start(1);
    hear_that_it_leaves(fixture, leaving);
    fixture.daemon.reset();
    fixture.start();
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(served(send_request(fixture, "/act/x", "second")));
    fixture.add("i-2", "app", staying, "z2");
    REQUIRE(fixture.wait_for_endpoints(1));
    CHECK(served_requests(fixture) == 10);
    CHECK(leaving.requests().size() == 2);
}

TEST_CASE("a daemon tells the others of its failure domain that an endpoint leaves")
{
    daemon_pair pair;
    pair.second.settings.domain = pair.first.settings.domain;
    endpoint_stand_in leaving(serve);
    const endpoint_stand_in staying(serve);
    pair.first.add("i-1", "app", leaving);
    pair.start();
    REQUIRE(pair.wait_until_connected(1));
    hear_that_it_leaves(pair.first, leaving);
    REQUIRE(daemon_fixture::wait_until([&] {
        return pair.second.metrics().find(R"(endpoints_leaving_total{source="peer"} 1)") !=
               std::string::npos;
    }));
    pair.first.add("i-2", "app", staying, "z2");
    REQUIRE(pair.second.wait_for_endpoints(1));
    CHECK(served_requests(pair.second) == 10);
    CHECK(leaving.requests().size() == 1);
}

} // namespace ej::forward_tests
