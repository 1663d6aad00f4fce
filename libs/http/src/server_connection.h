#pragma once

#include "beast.h"
#include "parse_limits.h"

#include <http/exchange.h>
#include <http/framing_fault.h>
#include <http/server.h>

#include <memory>
#include <optional>

namespace ej::http {

/// One caller's connection: reads requests one after another and calls the handler for each.
class server_connection final : public exchange,
                                public std::enable_shared_from_this<server_connection> {
public:
    server_connection(tcp::socket socket, server_options options);

    /// Serves requests until the caller disconnects or an answer closes the connection.
    asio::awaitable<void> serve(server::handler handle);

    [[nodiscard]] const request& received() const override { return received_; }
    asio::awaitable<absl::Status> respond(response answer) override;
    asio::awaitable<absl::Status> start_stream(std::vector<header> headers) override;
    asio::awaitable<absl::Status> write(std::string part) override;
    asio::awaitable<absl::Status> finish() override;
    void on_disconnect(std::function<void()> action) override;

private:
    asio::awaitable<bool> read_request();

    /// Answers a request that could not be read with `error`, unless its connection has ended, and
    /// closes the connection.
    asio::awaitable<void> refuse(boost::system::error_code error, framing_fault fault);
    asio::awaitable<void> watch_caller();
    void on_caller_disconnected();

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    server_options options_;
    request received_;
    bool keep_alive_ = false;
    bool streaming_ = false;
    bool disconnected_ = false;
    std::function<void()> on_disconnect_;
};

} // namespace ej::http
