#include "crowd_pool.h"

#include <crowd.h>
#include <crowd_script.h>

#include <array>
#include <chrono>
#include <random>
#include <stdexcept>
#include <string>

namespace ej::soak {

namespace {

using crowd_tests::crowd_script;

// More than a daemon accepts, see `soak_fleet`.
constexpr std::size_t clients = 48;
constexpr std::chrono::milliseconds stay{300};
constexpr std::size_t large_chunk = 0x4000;
constexpr std::size_t small_chunk = 0x10;
constexpr std::size_t body_bytes = 96'000; // Just below the limit.
constexpr std::size_t requests_ahead = 5'000;

const std::string unfinished_head =
    "POST /act/x HTTP/1.1\r\nHost: h.example\r\nEndivejunction-Attempt-Id: crowd\r\n"
    "Authorization: Token k1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string request_ahead = "POST /unknown/x HTTP/1.1\r\nHost: h.example\r\n"
                                  "Authorization: Token k1\r\nContent-Length: 0\r\n\r\n";

/// What each client of a crowd sends.
const std::array<crowd_script, 3> scripts{
    {{unfinished_head, "4000\r\n" + std::string(large_chunk, 'x') + "\r\n",
      body_bytes / large_chunk},
     {unfinished_head, "10\r\n" + std::string(small_chunk, 'x') + "\r\n", body_bytes / small_chunk},
     {"", request_ahead, requests_ahead}}};

} // namespace

crowd_pool::crowd_pool(const soak_fleet& system, bool active, std::uint64_t seed) : system_(system)
{
    if (active) {
        thread_ = std::thread([this, seed] { run(seed); });
    }
}

crowd_pool::~crowd_pool()
{
    ending_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

void crowd_pool::run(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    while (!ending_) {
        press(random() % soak_fleet::daemon_count, random() % scripts.size());
    }
}

void crowd_pool::press(std::size_t daemon, std::size_t script) const
{
    try {
        crowd_tests::crowd crowd;
        crowd.add(clients, system_.callers(daemon), scripts.at(script));
        crowd.press();
        std::this_thread::sleep_for(stay);
    }
    catch (const std::runtime_error&) {
        std::this_thread::sleep_for(stay); // The daemon does not listen.
    }
}

} // namespace ej::soak
