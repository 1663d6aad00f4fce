#include "caller.h"
#include "world.h"

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

const std::string full =
    "HTTP/1.1 503 X\r\nEndivejunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

const std::string own_fields =
    "X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 2\r\nKv-From: 1.2.3.4:5/z\r\n"
    "Endivejunction-Tenant: admirals\r\nEndivejunction-Hold: 3\r\n"
    "Endivejunction-Kv-Backup: 1.2.3.4:5\r\n";

std::string ask(world& in, const std::string& text)
{
    caller one(in.callers());
    one.send(text);
    return one.read_answer();
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a request arrives as it was sent, with the front's own fields")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-1", "app", app);
    in.run(1);
    const auto answer = ask(in, request("POST", "/act/x?a=b%20c", "id1", "body", own_fields));
    CHECK(has(answer, "200"));
    CHECK(has(answer, "Endivejunction-Response-Signature: signed"));
    CHECK(has(answer, "\r\n\r\ndone"));
    REQUIRE(app.requests().size() == 1);
    const auto seen = app.requests().front();
    CHECK(seen.starts_with("POST /act/x?a=b%20c HTTP/1.1\r\n"));
    CHECK(seen.ends_with("\r\n\r\nbody"));
    CHECK(fleet::field_of(seen, "Endivejunction-Attempt-Id") == "id1");
    CHECK(fleet::field_of(seen, "Endivejunction-Tenant") == "pilots");
    CHECK(fleet::field_of(seen, "Endivejunction-Expected-Instance") == "i-1");
    CHECK(std::stoi(fleet::field_of(seen, "Endivejunction-Deadline-Ms")) <= 1900);
    CHECK(std::stoi(fleet::field_of(seen, "Endivejunction-Deadline-Ms")) > 1000);
    CHECK(has(seen, "X-Own: 1"));
}

TEST_CASE("the key, a caller's own connection fields and the front's fields do not get through")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-1", "app", app);
    in.run(1);
    CHECK(has(ask(in, request("POST", "/act/x", "id1", "body", own_fields)), " 200 "));
    const auto seen = app.requests().front();
    for (const auto* const hidden :
         {"Authorization", "k1", "X-Hop", "Kv-From", "Hold", "Kv-Backup", "admirals"}) {
        INFO(hidden);
        CHECK_FALSE(has(seen, hidden));
    }
}

TEST_CASE("a chunked body arrives whole, with its length")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-1", "app", app);
    in.run(1);
    const auto answer =
        ask(in, request("POST", "/act/x", "id1", "", "Transfer-Encoding: chunked\r\n") +
                    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    CHECK(has(answer, "200"));
    REQUIRE(app.requests().size() == 1);
    CHECK(app.requests().front().ends_with("Content-Length: 5\r\n\r\nabcde"));
}

TEST_CASE("what may not be forwarded gets one clear answer")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-1", "app", app);
    in.run(1);
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
        CHECK(ask(in, text).substr(9, 3) == status);
    }
    CHECK(app.requests().empty());
    CHECK(has(ask(in, "GET /open/x HTTP/1.1\r\n" + host + "Endivejunction-Attempt-Id: i\r\n\r\n"),
              "200"));
}

TEST_CASE("a non-idempotent request runs once, and its loss is no promise")
{
    world in;
    const auto end = GENERATE(step_kind::close, step_kind::reset);
    const endpoint_stand_in first(always({{end, ""}}));
    const endpoint_stand_in second(always({{end, ""}}));
    in.add("i-1", "app", first);
    in.add("i-2", "app", second);
    in.run(2);
    const auto answer = ask(in, request("POST", "/act/x", "id1", "b"));
    CHECK(has(answer, " 502 "));
    CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("a request that an endpoint did not run goes to another one")
{
    world in;
    const endpoint_stand_in first(always({{step_kind::send, full}}));
    const endpoint_stand_in second(serve);
    in.add("i-1", "app", first);
    in.add("i-2", "app", second, "z2");
    in.run(2);
    CHECK(has(ask(in, request("POST", "/act/x", "id1", "b")), " 200 "));
    CHECK(second.requests().size() == 1);
}

TEST_CASE("a request that no endpoint ran is refused with a time to come back")
{
    world in;
    const endpoint_stand_in app(always({{step_kind::send, full}}));
    in.add("i-1", "app", app);
    in.run(1);
    const auto answer = ask(in, request("POST", "/act/x", "id1", "b"));
    CHECK(has(answer, " 503 "));
    CHECK(has(answer, "Retry-After: "));
}

TEST_CASE("an endpoint's 503 without its word on running is not passed on as a promise")
{
    world in;
    const endpoint_stand_in app([](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, signed_answer(request, 503, "busy")}};
    });
    in.add("i-1", "app", app);
    in.run(1);
    const auto answer = ask(in, request("POST", "/act/x", "id1", "b"));
    CHECK(has(answer, " 502 "));
    CHECK_FALSE(has(answer, "signed"));
}

TEST_CASE("an endpoint's own failure keeps its status, body and signature")
{
    world in;
    const endpoint_stand_in app([](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, signed_answer(request, 500, "broken")}};
    });
    in.add("i-1", "app", app);
    in.run(1);
    const auto answer = ask(in, request("POST", "/act/x", "id1", "b"));
    CHECK(has(answer, " 500 "));
    CHECK(has(answer, "signed"));
    CHECK(answer.ends_with("broken"));
}

TEST_CASE("a success counts only when it is signed, whole and an answer to this request")
{
    world in;
    const std::string whole = "Content-Length: 4\r\n\r\ndone";
    const std::string id = "Endivejunction-Attempt-Id: id1\r\n";
    const std::string seal = "Endivejunction-Response-Signature: s\r\n";
    const auto steps = GENERATE_COPY(
        std::vector<step>{{step_kind::send, "HTTP/1.1 200 OK\r\n" + id + whole}},
        std::vector<step>{
            {step_kind::send, "HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 9\r\n\r\ndone"},
            {step_kind::close, ""}},
        std::vector<step>{{step_kind::send, "HTTP/1.1 200 OK\r\n" + id + seal + "\r\ndone"},
                          {step_kind::wait, "", std::chrono::milliseconds(50)},
                          {step_kind::reset, ""}},
        std::vector<step>{{step_kind::send, "HTTP/1.1 200 OK\r\n" + seal + whole}},
        std::vector<step>{{step_kind::send, "no answer at all\r\n\r\n"}});
    const endpoint_stand_in app(always(steps));
    in.add("i-1", "app", app);
    in.run(1);
    const auto answer = ask(in, request("POST", "/act/x", "id1", "b"));
    CHECK(has(answer, " 502 "));
    CHECK_FALSE(has(answer, "done"));
}

TEST_CASE("an answer without a length that ends in good order is whole")
{
    world in;
    const endpoint_stand_in app([](const std::string& text, int) -> std::vector<step> {
        return {{step_kind::send, "HTTP/1.1 200 OK\r\nEndivejunction-Response-Signature: s\r\n"
                                  "Endivejunction-Attempt-Id: " +
                                      fleet::field_of(text, "Endivejunction-Attempt-Id") +
                                      "\r\n\r\ndone"},
                {step_kind::close, ""}};
    });
    in.add("i-1", "app", app);
    in.run(1);
    CHECK(ask(in, request("POST", "/act/x", "id1", "b")).ends_with("\r\n\r\ndone"));
}

TEST_CASE("a surplus answer reaches no later request")
{
    world in;
    const auto late = GENERATE(0, 60);
    const endpoint_stand_in app([late](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, signed_answer(request, 200, "one")},
                {step_kind::wait, "", std::chrono::milliseconds(late)},
                {step_kind::send, signed_answer(request, 200, "surplus")}};
    });
    in.add("i-1", "app", app);
    in.run(1);
    caller one(in.callers());
    for (int number = 0; number < 20; ++number) {
        one.send(request("GET", "/read/x", "id" + std::to_string(number)));
        const auto answer = one.read_answer();
        CHECK(has(answer, "Endivejunction-Attempt-Id: id" + std::to_string(number) + "\r\n"));
        CHECK(answer.ends_with("\r\n\r\none"));
    }
}

TEST_CASE("an idempotent request that fails or hangs is answered by a second endpoint")
{
    world in;
    const auto steps = GENERATE(std::vector<step>{{step_kind::hang, ""}},
                                std::vector<step>{{step_kind::reset, ""}},
                                std::vector<step>{{step_kind::send, "HTTP/1.1 500 X\r\n"
                                                                    "Content-Length: 0\r\n\r\n"}});
    const endpoint_stand_in first(always(steps));
    const endpoint_stand_in second(serve);
    in.add("i-1", "app", first);
    in.add("i-2", "app", second, "z2");
    in.run(2);
    CHECK(has(ask(in, request("GET", "/read/x", "id1")), " 200 "));
    CHECK(first.requests().size() <= 1);
    CHECK(second.requests().size() == 1);
}

TEST_CASE("no request waits longer than its route's timeout")
{
    world in;
    const endpoint_stand_in app(always({{step_kind::hang, ""}}));
    in.add("i-1", "app", app);
    in.run(1);
    const auto began = std::chrono::steady_clock::now();
    const auto answer =
        ask(in, "POST /act/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\n"
                "Endivejunction-Attempt-Id: a\r\nEndivejunction-Deadline-Ms: 300\r\n"
                "Content-Length: 0\r\n\r\n");
    CHECK(has(answer, " 504 "));
    CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(290));
    CHECK(world::eventually([&] { return app.abandoned() == 1; }));
}

TEST_CASE("a caller that leaves ends the work on its request")
{
    world in;
    const endpoint_stand_in app(always({{step_kind::hang, ""}}));
    in.add("i-1", "app", app);
    in.run(1);
    caller one(in.callers());
    one.send(request("POST", "/act/x", "id1", "b"));
    REQUIRE(world::eventually([&] { return app.requests().size() == 1; }));
    one.close();
    CHECK(world::eventually([&] { return app.abandoned() == 1; }));
}

TEST_CASE("requests sent ahead are answered in order")
{
    world in;
    const endpoint_stand_in app(serve);
    in.add("i-1", "app", app);
    in.run(1);
    caller one(in.callers());
    one.send(request("GET", "/read/x", "a") + request("GET", "/read/x", "b") +
             request("GET", "/read/x", "c"));
    for (const auto* const id : {"a", "b", "c"}) {
        CHECK(has(one.read_answer(), "Endivejunction-Attempt-Id: " + std::string(id) + "\r\n"));
    }
}

} // namespace ej::forward_tests
