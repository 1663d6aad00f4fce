#include "daemon_fixture.h"

#include <fleet/flooding_endpoint.h>

#include <http/client.h>
#include <http/line_stream.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace ej::forward_tests {

namespace {

namespace asio = boost::asio;
using fleet::flooding_endpoint;
using std::chrono::seconds;

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What a server writes without end, where the parser consumes nothing.
struct flood {
    std::string name;
    std::string beginning;
    std::string part;
};

flood any_flood()
{
    return GENERATE(flood{"a chunk extension", chunked_head + "1;", "x"},
                    flood{"a chunk size", chunked_head, "0"},
                    flood{"a trailer", chunked_head + "0\r\nA: ", "b"},
                    flood{"trailers", chunked_head + "0\r\n", "A: b\r\n"});
}

std::string block_of(const std::string& part)
{
    std::string block;
    while (block.size() < 4'096) {
        block += part;
    }
    return block;
}

http::call_options patient()
{
    http::call_options options;
    options.deadline = seconds(15);
    return options;
}

// GCC 12 destroys temporary aggregates of an awaited call twice, so each has a name.
asio::awaitable<absl::Status> fetch(http::client& calls, core::address where)
{
    http::request outgoing{"GET", "/", {}, {}};
    const auto options = patient();
    const auto answer = co_await calls.fetch(std::move(where), std::move(outgoing), options);
    co_return answer.status();
}

asio::awaitable<absl::Status> read_line(core::address where)
{
    http::request outgoing{"GET", "/", {}, {}};
    const auto options = patient();
    const auto opened =
        co_await http::line_stream::open(std::move(where), std::move(outgoing), options);
    if (!opened.ok()) {
        co_return opened.status();
    }
    const auto line = co_await (*opened)->next_line(seconds(15));
    co_return line.status();
}

absl::Status run(asio::awaitable<absl::Status> task, asio::io_context& loop)
{
    auto result = asio::co_spawn(loop, std::move(task), asio::use_future);
    loop.restart();
    loop.run();
    return result.get();
}

} // namespace

TEST_CASE("an answer of which nothing can be parsed without end is abandoned at a limit")
{
    const auto one = any_flood();
    INFO(one.name);
    const flooding_endpoint server([&](const std::string&) { return one.beginning; },
                                   block_of(one.part));
    asio::io_context loop;
    http::client calls(loop.get_executor());
    const auto fetched = run(fetch(calls, server.address()), loop);
    CHECK_FALSE(fetched.ok());
    CHECK_FALSE(absl::IsDeadlineExceeded(fetched));
    const auto read = run(read_line(server.address()), loop);
    CHECK_FALSE(read.ok());
    CHECK_FALSE(absl::IsDeadlineExceeded(read));
    CHECK(daemon_fixture::wait_until([&] { return server.closed() == 2; }));
}

} // namespace ej::forward_tests
