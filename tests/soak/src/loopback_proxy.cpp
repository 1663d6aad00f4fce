#include <utility>

#include "loopback_proxy.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace ej::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds chunk_delay{60};
// Interval for checking whether held bytes may be forwarded.
constexpr std::chrono::milliseconds poll_interval{10};
constexpr std::size_t chunk_bytes = 16'384;

asio::awaitable<void> pause_for(std::chrono::milliseconds time)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, time);
    error_code ignored; // The timer is cancelled only when the loop stops.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

/// A client's connection and the connection to the server that it is forwarded to.
struct proxied_connection {
    proxied_connection(tcp::socket from, asio::io_context& loop)
        : client(std::move(from)), server(loop)
    {
    }

    void reset()
    {
        error_code ignored; // The connection is closed in any case.
        client.set_option(asio::socket_base::linger(true, 0), ignored);
        client.close(ignored);
        server.set_option(asio::socket_base::linger(true, 0), ignored);
        server.close(ignored);
    }

    tcp::socket client;
    tcp::socket server;
    bool muted = false;
};

using pair_ptr = std::shared_ptr<proxied_connection>;

struct loopback_proxy::state : std::enable_shared_from_this<loopback_proxy::state> {
    explicit state(asio::io_context& context)
        : loop(context), acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
    }

    bool blocked(const proxied_connection& pair, bool to_server) const
    {
        return pair.muted || mode == proxy_mode::hold ||
               (mode == proxy_mode::one_way && !to_server);
    }

    static asio::awaitable<void> pump(std::shared_ptr<state> self, pair_ptr pair, bool to_server)
    {
        tcp::socket& from = to_server ? pair->client : pair->server;
        tcp::socket& to = to_server ? pair->server : pair->client;
        std::array<char, chunk_bytes> chunk{};
        error_code error;
        while (!error) {
            const auto count = co_await from.async_read_some(
                asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
            while (self->blocked(*pair, to_server) && pair->client.is_open()) {
                co_await pause_for(poll_interval);
            }
            if (self->mode == proxy_mode::delay) {
                co_await pause_for(chunk_delay);
            }
            if (!error) {
                co_await asio::async_write(to, asio::buffer(chunk, count),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
        }
        // EOF is forwarded as a half-close; any other error resets both sides.
        error_code ignored;
        if (error == asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, ignored);
        }
        else {
            pair->reset();
        }
    }

    static asio::awaitable<void> connect_to_target(std::shared_ptr<state> self, pair_ptr pair)
    {
        while (self->blocked(*pair, true) && pair->client.is_open()) {
            co_await pause_for(poll_interval);
        }
        error_code error = asio::error::connection_refused;
        if (self->target) {
            co_await pair->server.async_connect(*self->target,
                                                asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            pair->reset();
            co_return;
        }
        error_code ignored; // The option only affects latency.
        pair->client.set_option(tcp::no_delay(true), ignored);
        pair->server.set_option(tcp::no_delay(true), ignored);
        auto pump_to_server = pump(self, pair, true);
        asio::co_spawn(self->loop, std::move(pump_to_server), asio::detached);
        auto pump_to_client = pump(self, pair, false);
        asio::co_spawn(self->loop, std::move(pump_to_client), asio::detached);
    }

    static asio::awaitable<void> accept(std::shared_ptr<state> self)
    {
        for (;;) {
            error_code error;
            auto client = co_await self->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            std::erase_if(self->pairs, [](const auto& one) { return one.expired(); });
            auto pair = std::make_shared<proxied_connection>(std::move(client), self->loop);
            self->pairs.push_back(pair);
            auto connecting = connect_to_target(self, pair);
            asio::co_spawn(self->loop, std::move(connecting), asio::detached);
        }
    }

    template <class Action>
    void for_each_pair(Action action)
    {
        for (const auto& weak : pairs) {
            if (const auto pair = weak.lock()) {
                action(*pair);
            }
        }
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    std::optional<tcp::endpoint> target;
    proxy_mode mode = proxy_mode::pass;
    std::vector<std::weak_ptr<proxied_connection>> pairs;
};

loopback_proxy::loopback_proxy(asio::io_context& loop) : state_(std::make_shared<state>(loop))
{
    auto accepting = state::accept(state_);
    asio::co_spawn(loop, std::move(accepting), asio::detached);
}

loopback_proxy::~loopback_proxy()
{
    asio::post(state_->loop, [state = state_] {
        error_code ignored; // A failure has no effect: the proxy is shutting down.
        state->acceptor.close(ignored);
        state->for_each_pair([](proxied_connection& pair) { pair.reset(); });
    });
}

core::address loopback_proxy::address() const
{
    return {"127.0.0.1", state_->acceptor.local_endpoint().port()};
}

void loopback_proxy::forward_to(const core::address& target)
{
    asio::post(state_->loop, [state = state_, target] {
        state->target = tcp::endpoint(asio::ip::make_address(target.host), target.port);
    });
}

void loopback_proxy::set_mode(proxy_mode mode)
{
    asio::post(state_->loop, [state = state_, mode] {
        state->mode = mode == proxy_mode::mute ? proxy_mode::pass : mode;
        if (mode == proxy_mode::mute) {
            state->for_each_pair([](proxied_connection& pair) { pair.muted = true; });
        }
    });
}

void loopback_proxy::reset_all()
{
    asio::post(state_->loop, [state = state_] {
        state->for_each_pair([](proxied_connection& pair) { pair.reset(); });
    });
}

} // namespace ej::soak
