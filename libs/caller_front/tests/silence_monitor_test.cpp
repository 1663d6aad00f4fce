#include "silence_monitor.h"

#include "net.h"
#include "silence_report.h"
#include "upstream_pool.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace ej::front {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds long_time{20};
constexpr milliseconds check_begins{20};
constexpr milliseconds check_ends{400}; // Longer than a liveness check takes.

} // namespace

TEST_CASE("an engine that sends again is not reported lost by a check that began before")
{
    asio::io_context lane;
    upstream_pool pool(lane);
    tcp::acceptor engine(lane, tcp::v4());
    engine.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    engine.listen(0);
    const auto port = engine.local_endpoint().port();
    // Fills the engine's queue of connections, so that further ones are not established.
    std::vector<std::unique_ptr<tcp::socket>> queued;
    constexpr int enough = 4;
    while (queued.size() < enough) {
        queued.push_back(std::make_unique<tcp::socket>(lane));
        queued.back()->async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), port),
                                     [](const error_code&) {});
    }
    bool lost = false;
    const auto monitor =
        std::make_shared<silence_monitor>(pool, [&](const silence_report&) { lost = true; });
    monitor->begin({"127.0.0.1", port}, {milliseconds(0), long_time});
    lane.run_for(check_begins);
    monitor->note_output({long_time, long_time});
    lane.run_for(check_ends);
    CHECK_FALSE(lost);
}

TEST_CASE("an engine that is silent beyond a limit before its first check is still checked")
{
    constexpr milliseconds limit{100};
    constexpr milliseconds first_look{200};
    asio::io_context lane;
    upstream_pool pool(lane);
    tcp::acceptor engine(lane, tcp::v4());
    engine.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const auto port = engine.local_endpoint().port();
    engine.close(); // Refuses connections.
    std::vector<bool> reachable;
    const auto monitor = std::make_shared<silence_monitor>(
        pool, [&](const silence_report& seen) { reachable.push_back(seen.reachable); });
    monitor->begin({"127.0.0.1", port}, {first_look, limit});
    while (reachable.size() < 2) {
        lane.run_one();
    }
    CHECK(reachable == std::vector{true, false});
}

} // namespace ej::front
