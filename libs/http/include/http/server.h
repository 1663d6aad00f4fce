#pragma once

#include <http/exchange.h>
#include <http/server_options.h>

#include <core/address.h>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace ej::http {

/// Serves HTTP/1.1, each connection on a strand of its own. Thread-safe.
class server {
public:
    using handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<exchange>)>;

    /// Binds `listen` (port 0: the system chooses) and calls `handle` for each request.
    /// Error: Unavailable when the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<server>>
    start(const boost::asio::any_io_executor& executor, const core::address& listen,
          server_options options, handler handle);

    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// The bound address.
    [[nodiscard]] core::address local() const;

    /// Accepts no more connections; open ones continue.
    void stop_accepting();

private:
    struct listener;
    explicit server(std::shared_ptr<listener> state);
    std::shared_ptr<listener> listener_;
};

} // namespace ej::http
