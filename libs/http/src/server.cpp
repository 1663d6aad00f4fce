#include "beast.h"
#include "connection_table.h"
#include "parse_limits.h"
#include "server_connection.h"

#include <http/server.h>
#include <pressure/share_of_memory.h>

#include <string>

namespace ej::http {

struct server::listener : std::enable_shared_from_this<listener> {
    listener(const asio::any_io_executor& executor, server_options bounds, handler action)
        : base(executor), strand(asio::make_strand(executor)), acceptor(strand), options(bounds),
          table(std::make_shared<connection_table>(
              pressure::share_of_memory(bounds.request_memory, bounds.max_connections, 1,
                                        bounds.max_body_bytes + 2 * max_unparsed_bytes))),
          handle(std::move(action))
    {
    }

    absl::Status bind(const core::address& listen)
    {
        boost::system::error_code error;
        const auto number = asio::ip::make_address(listen.host, error);
        if (error) {
            return absl::UnavailableError(listen.host + " is not an IP address");
        }
        const tcp::endpoint where(number, listen.port);
        acceptor.open(where.protocol(), error);
        if (!error) {
            acceptor.set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error && options.receive_buffer_bytes > 0) {
            // Accepted sockets inherit it.
            acceptor.set_option(
                asio::socket_base::receive_buffer_size(options.receive_buffer_bytes), error);
        }
        if (!error) {
            acceptor.bind(where, error);
        }
        if (!error) {
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return absl::UnavailableError("bind " + core::to_string(listen) + ": " +
                                          error.message());
        }
        bound = core::address{listen.host, acceptor.local_endpoint().port()};
        return absl::OkStatus();
    }

    asio::awaitable<void> accept()
    {
        const auto self = shared_from_this();
        for (;;) {
            boost::system::error_code error;
            auto own_strand = asio::make_strand(base);
            tcp::socket socket(own_strand);
            co_await acceptor.async_accept(socket, no_throw(error));
            if (!acceptor.is_open()) {
                co_return;
            }
            if (error) {
                co_await pause();
                continue;
            }
            auto connection =
                std::make_shared<server_connection>(std::move(socket), own_strand, options, table);
            // The lambda holds the connection until its coroutine starts, which happens later.
            asio::co_spawn(
                own_strand,
                [connection, action = handle]() -> asio::awaitable<void> {
                    co_await connection->serve(action);
                },
                asio::detached);
        }
    }

    // When file descriptors run out, accept fails at once; without a pause the loop would spin.
    asio::awaitable<void> pause()
    {
        constexpr auto retry_after = std::chrono::milliseconds(100);
        asio::steady_timer timer(strand, retry_after);
        boost::system::error_code error;
        co_await timer.async_wait(no_throw(error));
    }

    asio::any_io_executor base;
    asio::any_io_executor strand;
    tcp::acceptor acceptor;
    server_options options;
    std::shared_ptr<connection_table> table;
    handler handle;
    core::address bound;
};

server::server(std::shared_ptr<listener> state) : listener_(std::move(state)) {}

server::~server()
{
    stop_accepting();
}

absl::StatusOr<std::unique_ptr<server>> server::start(const asio::any_io_executor& executor,
                                                      const core::address& listen,
                                                      server_options options, handler handle)
{
    auto state = std::make_shared<listener>(executor, options, std::move(handle));
    auto bound = state->bind(listen);
    if (!bound.ok()) {
        return bound;
    }
    asio::co_spawn(
        state->strand, [state]() -> asio::awaitable<void> { return state->accept(); },
        asio::detached);
    return std::unique_ptr<server>(new server(state));
}

core::address server::local() const
{
    return listener_->bound;
}

void server::stop_accepting()
{
    asio::post(listener_->strand, [state = listener_] {
        boost::system::error_code error;
        state->acceptor.close(error);
    });
}

} // namespace ej::http
