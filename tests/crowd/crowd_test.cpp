#include "crowd.h"
#include "crowded_daemon.h"

#include <catch2/catch.hpp>

#include <string>

namespace ej::crowd_tests {

namespace {

constexpr std::size_t crowd_size = 100;
constexpr std::size_t idle_crowd_size = 250;
constexpr std::size_t requests_ahead = 20'000;
constexpr std::size_t ordinary_body_bytes = 600;

// Four fifths of the VM's memory.
constexpr std::size_t most_memory_kb = (crowded_daemon::memory_mb << 10) * 4 / 5;

// Connections of callers, as many of all others: at the health check, to the store and the
// endpoint, of the event loops.
constexpr std::size_t most_descriptors = 2 * crowded_daemon::max_callers;

const std::string call_head = "POST /act/x HTTP/1.1\r\nHost: h.example\r\n"
                              "Endivejunction-Attempt-Id: crowd\r\nAuthorization: Token k1\r\n"
                              "Endivejunction-Deadline-Ms: 15000\r\n";
// Answered by the daemon itself.
const std::string unknown_route_request =
    "POST /unknown/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string health_head = "POST /ready HTTP/1.1\r\nHost: x\r\n";
const std::string in_chunks = "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t bytes)
{
    constexpr std::size_t small = 16;
    return (bytes == small ? "10\r\n" : "10000\r\n") + std::string(bytes, 'x') + "\r\n";
}

/// A body of nearly the longest length in chunks of `chunk_bytes`, without its end.
crowd_script unfinished_body(const std::string& head, std::size_t chunk_bytes)
{
    return {head + in_chunks, chunk(chunk_bytes), crowded_daemon::max_body_bytes / chunk_bytes};
}

/// What holds while the crowd is there.
void check_beside_crowd(crowded_daemon& daemon)
{
    daemon.wait_until_quiet();
    const auto descriptors = daemon.open_descriptors();
    REQUIRE(daemon.running());
    CHECK(descriptors < most_descriptors);
    CHECK(daemon.answer_to_request(ordinary_body_bytes).starts_with("HTTP/1.1 200"));
    CHECK(daemon.health().starts_with("HTTP/1.1 200"));
}

/// What holds while the crowd is there and once it has left.
void check_daemon(crowded_daemon& daemon, crowd& crowd)
{
    check_beside_crowd(daemon);
    crowd.leave();
    CHECK(daemon.answer_to_request(ordinary_body_bytes).starts_with("HTTP/1.1 200"));
    CHECK(daemon.peak_memory_kb() > 0);
    CHECK(daemon.peak_memory_kb() < most_memory_kb);
    CHECK(daemon.stop() == 0);
}

constexpr std::size_t large_chunk = 65'536;
constexpr std::size_t small_chunk = 16;

} // namespace

TEST_CASE("the largest request that the limits allow is served in calm")
{
    crowded_daemon daemon;
    CHECK(daemon.answer_to_request(crowded_daemon::max_body_bytes).starts_with("HTTP/1.1 200"));
    CHECK(daemon.stop() == 0);
}

TEST_CASE("bodies in large chunks that stop short of their end do not fill the memory")
{
    crowded_daemon daemon;
    crowd crowd;
    crowd.add(crowd_size, daemon.callers(), unfinished_body(call_head, large_chunk));
    crowd.press();
    check_daemon(daemon, crowd);
}

TEST_CASE("bodies in small chunks that stop short of their end do not fill the memory")
{
    crowded_daemon daemon;
    crowd crowd;
    crowd.add(crowd_size, daemon.callers(), unfinished_body(call_head, small_chunk));
    crowd.press();
    check_daemon(daemon, crowd);
}

TEST_CASE("unfinished bodies at the health check do not fill the memory")
{
    crowded_daemon daemon;
    crowd crowd;
    crowd.add(crowd_size, daemon.ready(), unfinished_body(health_head, large_chunk));
    crowd.press();
    check_daemon(daemon, crowd);
}

TEST_CASE("bodies far over the limit do not fill the memory")
{
    const std::string expect = GENERATE("", "Expect: 100-continue\r\n");
    const std::string framing =
        GENERATE("Content-Length: 1000000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n");
    crowded_daemon daemon;
    crowd crowd;
    const bool chunked = framing.starts_with("Transfer");
    const auto part = chunked ? chunk(large_chunk) : std::string(large_chunk, 'x');
    const auto parts = 3 * crowded_daemon::max_body_bytes / large_chunk;
    crowd.add(crowd_size, daemon.callers(), {call_head + expect + framing, part, parts});
    crowd.press();
    check_daemon(daemon, crowd);
}

TEST_CASE("requests sent ahead at the health check do not fill the memory")
{
    crowded_daemon daemon;
    crowd crowd;
    crowd.add(crowd_size, daemon.ready(),
              {"", "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", requests_ahead});
    crowd.press();
    check_daemon(daemon, crowd);
}

TEST_CASE("requests sent ahead to callers' address do not fill the memory")
{
    crowded_daemon daemon;
    crowd crowd;
    crowd.add(crowd_size, daemon.callers(), {"", unknown_route_request, requests_ahead});
    crowd.press();
    check_daemon(daemon, crowd);
}

TEST_CASE("idle connections and unfinished heads do not use up the descriptors")
{
    crowded_daemon daemon;
    crowd crowd;
    crowd.add(idle_crowd_size, daemon.callers(), {});
    crowd.add(idle_crowd_size, daemon.callers(), {call_head, "", 0});
    crowd.add(idle_crowd_size, daemon.ready(), {health_head, "", 0});
    crowd.press();
    check_daemon(daemon, crowd);
}

TEST_CASE("one crowd of each kind does not keep an ordinary caller from its answer")
{
    crowded_daemon daemon;
    crowd crowd;
    crowd.add(crowd_size, daemon.callers(), unfinished_body(call_head, large_chunk));
    crowd.add(crowd_size, daemon.ready(), unfinished_body(health_head, large_chunk));
    crowd.add(crowd_size, daemon.callers(), {"", unknown_route_request, requests_ahead});
    crowd.add(idle_crowd_size, daemon.callers(), {call_head, "", 0});
    crowd.press();
    check_daemon(daemon, crowd);
}

} // namespace ej::crowd_tests
