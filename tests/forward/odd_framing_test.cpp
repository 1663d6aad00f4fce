#include "caller.h"
#include "daemon_fixture.h"

#include <http/client.h>
#include <http/line_stream.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace ej::forward_tests {

namespace {

namespace asio = boost::asio;
using fleet::endpoint_stand_in;
using fleet::signed_answer;
using fleet::step;
using fleet::step_kind;

struct odd_header {
    std::string name;
    std::string fields;
    int status = 400;
};

odd_header any_odd_header()
{
    return GENERATE(
        odd_header{"a last coding other than chunked", "Transfer-Encoding: chunked, identity\r\n"},
        odd_header{"an unknown coding", "Transfer-Encoding: xchunked\r\n"},
        odd_header{"a second coding in its own line",
                   "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"},
        odd_header{"chunks twice", "Transfer-Encoding: chunked, chunked\r\n"},
        odd_header{"an empty list of codings", "Transfer-Encoding: \r\n"},
        odd_header{"a folded coding", "Transfer-Encoding:\r\n chunked\r\n"},
        odd_header{"another coding before chunks", "Transfer-Encoding: gzip, chunked\r\n", 501},
        odd_header{"an unknown coding and a length",
                   "Content-Length: 5\r\nTransfer-Encoding: x\r\n"},
        odd_header{"equal lengths in a list", "Content-Length: 5, 5\r\n"},
        odd_header{"equal lengths in two lines", "Content-Length: 5\r\nContent-Length: 5\r\n"});
}

std::vector<step> serve(const std::string& request, int)
{
    return {{step_kind::send, signed_answer(request, 200, "done")}};
}

/// A request whose body holds the text of another request.
std::string smuggling(const std::string& method, const std::string& fields)
{
    const auto plain = request(method, "/act/x", "outer", "", fields);
    const auto head = plain.substr(0, plain.find("\r\n\r\n"));
    return head + "\r\n\r\n" + request("POST", "/act/x", "inner", "smuggled");
}

asio::awaitable<absl::Status> fetch(http::client& calls, core::address where)
{
    http::request outgoing{"GET", "/", {}, {}};
    const http::call_options options;
    const auto answer = co_await calls.fetch(std::move(where), std::move(outgoing), options);
    co_return answer.status();
}

asio::awaitable<absl::Status> open_lines(core::address where)
{
    http::request outgoing{"GET", "/", {}, {}};
    const http::call_options options;
    const auto opened =
        co_await http::line_stream::open(std::move(where), std::move(outgoing), options);
    co_return opened.status();
}

absl::Status run(asio::awaitable<absl::Status> task, asio::io_context& loop)
{
    auto result = asio::co_spawn(loop, std::move(task), asio::use_future);
    loop.restart();
    loop.run();
    return result.get();
}

} // namespace

// UNASKED: the text of a body ran as a second request behind a transfer coding that Beast ignores.
TEST_CASE("a request without a certain end is refused, and nothing behind its header runs")
{
    daemon_fixture fixture;
    const endpoint_stand_in endpoint(serve);
    fixture.add("a1", "app", endpoint);
    fixture.configure_and_start(1);
    const auto one = any_odd_header();
    const auto* const method = GENERATE("POST", "GET");
    INFO(method << " with " << one.name);
    caller connection(fixture.listen_address());
    connection.send(smuggling(method, one.fields));
    const auto received = connection.read_to_end();
    CHECK(received.starts_with("HTTP/1.1 " + std::to_string(one.status) + " "));
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(endpoint.requests().empty());
}

// UNASKED: a size that wraps around would end the chunk within the body.
TEST_CASE("a request with a chunk size beyond 64 bits is refused, and nothing behind its header "
          "runs")
{
    daemon_fixture fixture;
    const endpoint_stand_in endpoint(serve);
    fixture.add("a1", "app", endpoint);
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    const auto head = request("POST", "/act/x", "outer", "", "Transfer-Encoding: chunked\r\n");
    connection.send(head + "10000000000000004\r\nbody\r\n0\r\n\r\n" +
                    request("POST", "/act/x", "inner", "smuggled"));
    const auto received = connection.read_to_end();
    CHECK(received.starts_with("HTTP/1.1 400 "));
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(endpoint.requests().empty());
}

// UNASKED: the same header at the port for health checks, whose server `serve` uses for callers.
TEST_CASE("a health check without a certain end is refused, and nothing behind its header is "
          "answered")
{
    daemon_fixture fixture;
    fixture.configure_and_start(0);
    const auto one = any_odd_header();
    INFO(one.name);
    caller connection(fixture.daemon->ready_address());
    connection.send("GET /ready HTTP/1.1\r\nHost: h\r\n" + one.fields +
                    "\r\nGET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto received = connection.read_to_end();
    CHECK(received.starts_with("HTTP/1.1 " + std::to_string(one.status) + " "));
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);
}

// UNASKED: a caller wrote fields that only the daemon sets, behind the checks of the header.
TEST_CASE("trailer fields of a request do not reach the endpoint")
{
    daemon_fixture fixture;
    const endpoint_stand_in endpoint(serve);
    fixture.add("a1", "app", endpoint);
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    const auto plain =
        request("POST", "/act/x", "id1", "", "Transfer-Encoding: chunked\r\nX-Kept: 1\r\n");
    connection.send(plain.substr(0, plain.find("\r\n\r\n")) +
                    "\r\n\r\n4\r\nbody\r\n0\r\nEndivejunction-Model: other\r\nX-Late: 1\r\n\r\n");
    CHECK(connection.read_answer().starts_with("HTTP/1.1 200 "));
    REQUIRE(endpoint.requests().size() == 1);
    const auto forwarded = endpoint.requests().front();
    CHECK(forwarded.ends_with("\r\n\r\nbody"));
    CHECK(forwarded.find("X-Kept: 1") != std::string::npos);
    CHECK(forwarded.find("X-Late") == std::string::npos);
    CHECK(forwarded.find("Endivejunction-Model") == std::string::npos);
}

// MIXED: an answer whose body has no certain end was passed on as whole when its connection closed.
TEST_CASE("an endpoint's answer without a certain end is not passed on as a success")
{
    daemon_fixture fixture;
    const auto one = any_odd_header();
    INFO(one.name);
    const endpoint_stand_in endpoint([&](const std::string& request, int) -> std::vector<step> {
        const auto signed_text = signed_answer(request, 200, "");
        auto head = signed_text.substr(0, signed_text.find("\r\n\r\n") + 2);
        head.erase(head.find("Content-Length: 0\r\n"), std::string("Content-Length: 0\r\n").size());
        return {{step_kind::send, head + one.fields + "\r\n3\r\nabc\r\n0\r\n\r\n"},
                {step_kind::close}};
    });
    fixture.add("a1", "app", endpoint);
    fixture.configure_and_start(1);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/act/x", "id1"));
    CHECK(connection.read_answer().starts_with("HTTP/1.1 502 "));
}

// TWICE: a trailer field could claim that a request which ran was not executed.
TEST_CASE("trailer fields of an endpoint's answer are not taken for its header fields")
{
    daemon_fixture fixture;
    const auto refuse_late = [](const std::string& request, int) -> std::vector<step> {
        return {{step_kind::send, "HTTP/1.1 503 X\r\nEndivejunction-Attempt-Id: " +
                                      fleet::header_value(request, "Endivejunction-Attempt-Id") +
                                      "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                                      "Endivejunction-Not-Executed: 1\r\n\r\n"}};
    };
    const endpoint_stand_in first(refuse_late);
    const endpoint_stand_in second(refuse_late);
    fixture.add("a1", "app", first);
    fixture.add("a2", "app", second);
    fixture.configure_and_start(2);
    caller connection(fixture.listen_address());
    connection.send(request("POST", "/act/x", "id1"));
    CHECK(connection.read_answer().starts_with("HTTP/1.1 502 "));
    CHECK(first.requests().size() + second.requests().size() == 1);
}

// The platform's store, peers and applications are called with these clients.
TEST_CASE("an answer without a certain end is an error to the clients of the store and of peers")
{
    const auto one = any_odd_header();
    INFO(one.name);
    const endpoint_stand_in server([&](const std::string&, int) -> std::vector<step> {
        return {{step_kind::send, "HTTP/1.1 200 OK\r\n" + one.fields + "\r\nabcde"},
                {step_kind::close}};
    });
    asio::io_context loop;
    http::client calls(loop.get_executor());
    CHECK_FALSE(run(fetch(calls, server.address()), loop).ok());
    CHECK_FALSE(run(open_lines(server.address()), loop).ok());
}

} // namespace ej::forward_tests
