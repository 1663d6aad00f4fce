#include "lazy_timer.h"

#include "clock.h"
#include "net.h"

#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <thread>

namespace ej::front {

namespace {

using stream = asio::local::stream_protocol::socket;
using std::chrono::milliseconds;

constexpr milliseconds delay{5};

} // namespace

TEST_CASE("a timer of a late lane does not fire before input that arrived earlier is read")
{
    asio::io_context lane;
    stream near_end(lane);
    stream far_end(lane);
    stream blocker(lane);
    stream blocker_end(lane);
    asio::local::connect_pair(near_end, far_end);
    asio::local::connect_pair(blocker, blocker_end);
    const std::array<char, 1> byte{};
    std::array<char, 1> received{};
    bool fired = false;
    const auto timer = std::make_shared<lazy_timer>(lane, [&] { fired = true; });
    timer->set(now() + delay);
    near_end.async_read_some(asio::buffer(received),
                             [&](const error_code&, std::size_t) { timer->clear(); });
    // Handled in the same pass as the timer and before it: its handler stands for a delay of the
    // lane, during which the input arrives.
    blocker.async_wait(stream::wait_read,
                       [&](const error_code&) { asio::write(far_end, asio::buffer(byte)); });
    asio::write(blocker_end, asio::buffer(byte));
    std::this_thread::sleep_until(now() + 2 * delay);
    lane.run();
    CHECK_FALSE(fired);
}

TEST_CASE("a timer fires when no input arrives")
{
    asio::io_context lane;
    bool fired = false;
    const auto timer = std::make_shared<lazy_timer>(lane, [&] { fired = true; });
    timer->set(now() + delay);
    lane.run();
    CHECK(fired);
}

} // namespace ej::front
