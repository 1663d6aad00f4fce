#include "attempt_listener.h"
#include "net.h"
#include "upstream_attempt.h"
#include "upstream_pool.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace ej::front {

namespace {

using std::chrono::seconds;

constexpr seconds long_time{20}; // Only bounds a hang.

/// Records the end of an attempt whose endpoint no longer accepts requests.
class refusing_listener final : public attempt_listener {
public:
    [[nodiscard]] bool may_send(const upstream_attempt&) const override { return false; }
    [[nodiscard]] bool may_be_repeated() const override { return false; }
    void on_sent(upstream_attempt&) override {}
    void on_head(upstream_attempt&) override {}
    void on_body(upstream_attempt&, std::string) override {}
    void on_complete(upstream_attempt&) override {}
    void on_end(upstream_attempt&, forwarding::attempt_end end, const std::string&) override
    {
        ended = end;
    }

    std::optional<forwarding::attempt_end> ended;
};

} // namespace

TEST_CASE("a request is not sent if its endpoint asked for a pause while the connection was made")
{
    asio::io_context lane;
    upstream_pool pool(lane);
    tcp::acceptor acceptor(lane, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    core::endpoint endpoint;
    endpoint.where = {"127.0.0.1", acceptor.local_endpoint().port()};
    const auto listener = std::make_shared<refusing_listener>();
    const auto attempt = std::make_shared<upstream_attempt>(pool, endpoint, "EJ-Request-Id", "id1");
    attempt->start(listener, {"GET / HTTP/1.1\r\n\r\n", std::make_shared<const std::string>()},
                   false, long_time);
    while (!listener->ended && lane.run_one_for(long_time) > 0) {
    }
    CHECK(listener->ended == forwarding::attempt_end::not_sent);
    CHECK_FALSE(attempt->sent());
    auto connection = acceptor.accept();
    char byte = 0;
    std::optional<error_code> end;
    connection.async_read_some(asio::buffer(&byte, 1),
                               [&](const error_code& error, std::size_t) { end = error; });
    lane.restart();
    while (!end && lane.run_one_for(long_time) > 0) {
    }
    CHECK(end == error_code(asio::error::eof));
}

} // namespace ej::front
