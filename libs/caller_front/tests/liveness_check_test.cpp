#include "liveness_check.h"

#include "clock.h"
#include "net.h"
#include "upstream_pool.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace ej::front {

namespace {

using std::chrono::seconds;

constexpr seconds long_time{20}; // Only bounds a hang.

/// A listener on the loopback interface.
class endpoint {
public:
    endpoint() : acceptor_(loop_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

    [[nodiscard]] core::address address() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    /// Accepts a connection and resets it.
    void reset_next()
    {
        auto connection = acceptor_.accept();
        connection.set_option(asio::socket_base::linger(true, 0));
        connection.close();
    }

    void close() { acceptor_.close(); }

private:
    asio::io_context loop_;
    tcp::acceptor acceptor_;
};

} // namespace

TEST_CASE("an endpoint that resets a new connection is alive")
{
    asio::io_context lane;
    upstream_pool pool(lane);
    endpoint where;
    std::optional<bool> alive;
    const auto check = std::make_shared<liveness_check>(pool, where.address(),
                                                        [&](bool result) { alive = result; });
    check->start(long_time);
    // The reset arrives before the lane looks at the connection.
    where.reset_next();
    while (!alive && lane.run_one_for(long_time) > 0) {
    }
    REQUIRE(alive);
    CHECK(*alive);
}

TEST_CASE("an endpoint that resets its last connection while it ends is not alive")
{
    asio::io_context lane;
    upstream_pool pool(lane);
    endpoint where;
    std::optional<bool> alive;
    const auto check = std::make_shared<liveness_check>(pool, where.address(),
                                                        [&](bool result) { alive = result; });
    check->start(long_time);
    where.reset_next();
    where.close();
    while (!alive && lane.run_one_for(long_time) > 0) {
    }
    REQUIRE(alive);
    CHECK_FALSE(*alive);
}

TEST_CASE("an address that is not an IP address is reported unreachable without a crash")
{
    asio::io_context lane{1};
    upstream_pool pool(lane);
    std::optional<bool> alive;
    const auto check = std::make_shared<liveness_check>(pool, core::address{"host", 80},
                                                        [&](bool result) { alive = result; });
    check->start(std::chrono::milliseconds(100));
    lane.run();
    CHECK(alive == false);
}

} // namespace ej::front
