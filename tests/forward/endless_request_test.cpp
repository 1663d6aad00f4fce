#include "caller.h"
#include "daemon_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

namespace ej::forward_tests {

namespace {

/// Bytes of which a parser consumes nothing, more than a daemon buffers.
std::string chunk_extension()
{
    constexpr std::size_t bytes = std::size_t{256} << 10;
    return "1;" + std::string(bytes, 'x');
}

std::string chunked_request(const std::string& target)
{
    return "POST " + target +
           " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\n"
           "Transfer-Encoding: chunked\r\n\r\n" +
           chunk_extension();
}

} // namespace

TEST_CASE("a request of which nothing can be parsed without end is rejected at a limit")
{
    daemon_fixture fixture;
    fixture.configure_and_start(0);
    caller connection(fixture.listen_address());
    connection.send(chunked_request("/act/x"));
    CHECK(connection.read_answer().starts_with("HTTP/1.1 431"));
}

TEST_CASE("a health check of which nothing can be parsed without end is closed at a limit")
{
    daemon_fixture fixture;
    fixture.configure_and_start(0);
    caller connection(fixture.daemon->ready_address());
    connection.send(chunked_request("/ready"));
    const auto began = std::chrono::steady_clock::now();
    static_cast<void>(connection.read_to_end());
    // Before the timeout for a request.
    CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(3));
}

} // namespace ej::forward_tests
