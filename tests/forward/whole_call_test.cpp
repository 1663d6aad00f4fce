#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

namespace ej::forward_tests {

namespace {

using fleet::endpoint_stand_in;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;

std::vector<step> serve(const std::string& request, int)
{
    return {{step_kind::send, signed_answer(request, 200, "done")}};
}

endpoint_stand_in::script always(const std::vector<step>& steps)
{
    return [steps](const std::string&, int) { return steps; };
}

const std::string not_executed_response =
    "HTTP/1.1 503 X\r\nEndivejunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

const std::string connection_and_internal_fields =
    "X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\nKv-From: 1.2.3.4:5/z\r\n"
    "Endivejunction-Tenant: admirals\r\nEndivejunction-Hold: 3\r\n"
    "Endivejunction-Kv-Backup: 1.2.3.4:5\r\n";

std::string send_request(daemon_fixture& fixture, const std::string& text)
{
    caller connection(fixture.listen_address());
    connection.send(text);
    return connection.read_answer();
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a request is forwarded unchanged with the daemon's own header fields")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto answer = send_request(
        fixture, request("POST", "/act/x?a=b%20c", "id1", "body", connection_and_internal_fields));
    CHECK(contains(answer, "200"));
    CHECK(contains(answer, "Endivejunction-Response-Signature: signed"));
    CHECK(contains(answer, "\r\n\r\ndone"));
    REQUIRE(app.requests().size() == 1);
    const auto seen = app.requests().front();
    CHECK(seen.starts_with("POST /act/x?a=b%20c HTTP/1.1\r\n"));
    CHECK(seen.ends_with("\r\n\r\nbody"));
    CHECK(fleet::header_value(seen, "Endivejunction-Attempt-Id") == "id1");
    CHECK(fleet::header_value(seen, "Endivejunction-Tenant") == "pilots");
    CHECK(fleet::header_value(seen, "Endivejunction-Expected-Instance") == "i-1");
    CHECK(std::stoi(fleet::header_value(seen, "Endivejunction-Deadline-Ms")) <= 1900);
    CHECK(std::stoi(fleet::header_value(seen, "Endivejunction-Deadline-Ms")) > 1000);
    CHECK(contains(seen, "X-Own: 1"));
}

TEST_CASE("the API key, hop-by-hop fields and internal fields of a caller are not forwarded")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    CHECK(contains(send_request(fixture, request("POST", "/act/x", "id1", "body",
                                                 connection_and_internal_fields)),
                   " 200 "));
    const auto seen = app.requests().front();
    for (const auto* const hidden :
         {"Authorization", "k1", "X-Hop", "Kv-From", "Hold", "Kv-Backup", "admirals"}) {
        INFO(hidden);
        CHECK_FALSE(contains(seen, hidden));
    }
}

TEST_CASE("a chunked body is forwarded whole with Content-Length")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto answer = send_request(
        fixture, request("POST", "/act/x", "id1", "", "Transfer-Encoding: chunked\r\n") +
                     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(contains(answer, "200"));
    REQUIRE(app.requests().size() == 1);
    CHECK(app.requests().front().ends_with("Content-Length: 5\r\n\r\nabcde"));
}

TEST_CASE("a request that may not be forwarded gets the status of its fault")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const std::string key = "Authorization: Token k1\r\n";
    const std::string host = "Host: h.example\r\n";
    const std::string big(200'000, 'x');
    const std::vector<std::pair<std::string, std::string>> cases{
        {"GET /none/ HTTP/1.1\r\n" + host + key + "\r\n", "404"},
        {"GET /read HTTP/1.1\r\n" + host + key + "\r\n", "404"},
        {"GET /read/x HTTP/1.1\r\nHost: other\r\n" + key + "\r\n", "404"},
        {"GET /read/x HTTP/1.1\r\n" + host + "\r\n", "401"},
        {"GET /read/x HTTP/1.1\r\n" + host + "Authorization: Token nope\r\n\r\n", "401"},
        {"GET /read/x HTTP/1.1\r\n" + key + "\r\n", "400"},
        {"GET /read/x HTTP/1.1\r\n" + host + host + key + "\r\n", "400"},
        {"GET read HTTP/1.1\r\n" + host + key + "\r\n", "400"},
        {"nonsense\r\n\r\n", "400"},
        {"POST /act/x HTTP/1.1\r\n" + host + key +
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400"},
        {"POST /act/x HTTP/1.1\r\n" + host + key +
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
         "400"},
        {"POST /act/x HTTP/1.1\r\n" + host + key +
             "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         "400"},
        {"POST /act/x HTTP/1.1\r\n" + host + key + "Content-Length: -1\r\n\r\n", "400"},
        {"GET /read/x HTTP/1.1\r\n" + host + key + "X: " + std::string(8000, 'y') + "\r\n\r\n",
         "431"},
        {"POST /act/x HTTP/1.1\r\n" + host + key + "Content-Length: 200000\r\n\r\n" + big, "413"},
        {"POST /act/x HTTP/1.1\r\n" + host + key, "408"},
    };
    for (const auto& [text, status] : cases) {
        INFO(text.substr(0, 120));
        CHECK(send_request(fixture, text).substr(9, 3) == status);
    }
    CHECK(app.requests().empty());
    CHECK(contains(send_request(fixture, "GET /open/x HTTP/1.1\r\n" + host +
                                             "Endivejunction-Attempt-Id: i\r\n\r\n"),
                   "200"));
}

TEST_CASE("a non-idempotent request is sent once and its loss is answered 502")
{
    daemon_fixture fixture;
    const auto end = GENERATE(step_kind::close, step_kind::reset);
    const endpoint_stand_in first(always({{end, ""}}));
    const endpoint_stand_in second(always({{end, ""}}));
    fixture.add("i-1", "app", first);
    fixture.add("i-2", "app", second);
    fixture.configure_and_start(2);
    const auto answer = send_request(fixture, request("POST", "/act/x", "id1", "b"));
    CHECK(contains(answer, " 502 "));
    CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("a request that one endpoint did not run is sent to another")
{
    daemon_fixture fixture;
    const endpoint_stand_in first(always({{step_kind::send, not_executed_response}}));
    const endpoint_stand_in second(serve);
    fixture.add("i-1", "app", first);
    fixture.add("i-2", "app", second, "z2");
    fixture.configure_and_start(2);
    CHECK(contains(send_request(fixture, request("POST", "/act/x", "id1", "b")), " 200 "));
    CHECK(second.requests().size() == 1);
}

TEST_CASE("a request that no endpoint ran is answered 503 with Retry-After")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(always({{step_kind::send, not_executed_response}}));
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto answer = send_request(fixture, request("POST", "/act/x", "id1", "b"));
    CHECK(contains(answer, " 503 "));
    CHECK(contains(answer, "Retry-After: "));
}

TEST_CASE("an endpoint's 503 without a not-executed field is answered 502")
{
    daemon_fixture fixture;
    const endpoint_stand_in app([](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, signed_answer(request, 503, "busy")}};
    });
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto answer = send_request(fixture, request("POST", "/act/x", "id1", "b"));
    CHECK(contains(answer, " 502 "));
    CHECK_FALSE(contains(answer, "signed"));
}

TEST_CASE("an endpoint's signed 500 keeps its status, body and signature")
{
    daemon_fixture fixture;
    const endpoint_stand_in app([](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, signed_answer(request, 500, "broken")}};
    });
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto answer = send_request(fixture, request("POST", "/act/x", "id1", "b"));
    CHECK(contains(answer, " 500 "));
    CHECK(contains(answer, "signed"));
    CHECK(answer.ends_with("broken"));
}

TEST_CASE("a 200 that is unsigned, incomplete or lacks this request's id is answered 502")
{
    daemon_fixture fixture;
    const std::string whole = "Content-Length: 4\r\n\r\ndone";
    const std::string id = "Endivejunction-Attempt-Id: id1\r\n";
    const std::string signature_field = "Endivejunction-Response-Signature: s\r\n";
    const auto steps = GENERATE_COPY(
        std::vector<step>{{step_kind::send, "HTTP/1.1 200 OK\r\n" + id + whole}},
        std::vector<step>{{step_kind::send, "HTTP/1.1 200 OK\r\n" + id + signature_field +
                                                "Content-Length: 9\r\n\r\ndone"},
                          {step_kind::close, ""}},
        std::vector<step>{
            {step_kind::send, "HTTP/1.1 200 OK\r\n" + id + signature_field + "\r\ndone"},
            {step_kind::wait, "", std::chrono::milliseconds(50)},
            {step_kind::reset, ""}},
        std::vector<step>{{step_kind::send, "HTTP/1.1 200 OK\r\n" + signature_field + whole}},
        std::vector<step>{{step_kind::send, "no answer at all\r\n\r\n"}});
    const endpoint_stand_in app(always(steps));
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto answer = send_request(fixture, request("POST", "/act/x", "id1", "b"));
    CHECK(contains(answer, " 502 "));
    CHECK_FALSE(contains(answer, "done"));
}

TEST_CASE("an answer without a length is complete when the connection closes cleanly")
{
    daemon_fixture fixture;
    const endpoint_stand_in app([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::send, "HTTP/1.1 200 OK\r\nEndivejunction-Response-Signature: s\r\n"
                                  "Endivejunction-Attempt-Id: " +
                                      fleet::header_value(text, "Endivejunction-Attempt-Id") +
                                      "\r\n\r\ndone"},
                {step_kind::close, ""}};
    });
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    CHECK(send_request(fixture, request("POST", "/act/x", "id1", "b")).ends_with("\r\n\r\ndone"));
}

TEST_CASE("a surplus answer on an endpoint connection reaches no later request")
{
    daemon_fixture fixture;
    const auto delay_ms = GENERATE(0, 60);
    const endpoint_stand_in app([delay_ms](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, signed_answer(request, 200, "one")},
                {step_kind::wait, "", std::chrono::milliseconds(delay_ms)},
                {step_kind::send, signed_answer(request, 200, "surplus")}};
    });
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    for (int number = 0; number < 20; ++number) {
        connection.send(request("GET", "/read/x", "id" + std::to_string(number)));
        const auto answer = connection.read_answer();
        CHECK(contains(answer, "Endivejunction-Attempt-Id: id" + std::to_string(number) + "\r\n"));
        CHECK(answer.ends_with("\r\n\r\none"));
    }
}

TEST_CASE("an idempotent request that fails or hangs is answered by a second endpoint")
{
    daemon_fixture fixture;
    const auto steps = GENERATE(std::vector<step>{{step_kind::hang, ""}},
                                std::vector<step>{{step_kind::reset, ""}},
                                std::vector<step>{{step_kind::send, "HTTP/1.1 500 X\r\n"
                                                                    "Content-Length: 0\r\n\r\n"}});
    const endpoint_stand_in first(always(steps));
    const endpoint_stand_in second(serve);
    fixture.add("i-1", "app", first);
    fixture.add("i-2", "app", second, "z2");
    fixture.configure_and_start(2);
    CHECK(contains(send_request(fixture, request("GET", "/read/x", "id1")), " 200 "));
    CHECK(first.requests().size() <= 1);
    CHECK(second.requests().size() == 1);
}

TEST_CASE("no request waits longer than its route's timeout")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(always({{step_kind::hang, ""}}));
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    const auto began = std::chrono::steady_clock::now();
    const auto answer = send_request(
        fixture, "POST /act/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\n"
                 "Endivejunction-Attempt-Id: a\r\nEndivejunction-Deadline-Ms: 300\r\n"
                 "Content-Length: 0\r\n\r\n");
    CHECK(contains(answer, " 504 "));
    CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(290));
    CHECK(daemon_fixture::wait_until([&] { return app.abandoned() == 1; }));
}

TEST_CASE("a request is abandoned at the endpoint when its caller disconnects")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(always({{step_kind::hang, ""}}));
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/act/x", "id1", "b"));
    REQUIRE(daemon_fixture::wait_until([&] { return app.requests().size() == 1; }));
    connection.close();
    CHECK(daemon_fixture::wait_until([&] { return app.abandoned() == 1; }));
}

TEST_CASE("pipelined requests are answered in order")
{
    daemon_fixture fixture;
    const endpoint_stand_in app(serve);
    fixture.add("i-1", "app", app);
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(request("GET", "/read/x", "a") + request("GET", "/read/x", "b") +
                    request("GET", "/read/x", "c"));
    for (const auto* const id : {"a", "b", "c"}) {
        CHECK(contains(connection.read_answer(),
                       "Endivejunction-Attempt-Id: " + std::string(id) + "\r\n"));
    }
}

} // namespace ej::forward_tests
