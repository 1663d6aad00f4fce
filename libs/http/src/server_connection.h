#pragma once

#include "beast.h"
#include "connection_table.h"
#include "parse_limits.h"

#include <http/exchange.h>
#include <http/framing_fault.h>
#include <http/server.h>

#include <core/instant.h>

#include <cstdint>
#include <memory>
#include <optional>

namespace ej::http {

/// One caller's connection: reads requests one after another and calls the handler for each.
class server_connection final : public exchange,
                                public std::enable_shared_from_this<server_connection> {
public:
    /// `strand` is that of `socket`.
    server_connection(tcp::socket socket, asio::any_io_executor strand, server_options options,
                      std::shared_ptr<connection_table> table);
    ~server_connection() override;
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    server_connection(server_connection&&) = delete;
    server_connection& operator=(server_connection&&) = delete;

    /// Serves requests until the caller disconnects or an answer closes the connection.
    asio::awaitable<void> serve(server::handler handle);

    [[nodiscard]] const request& received() const override { return received_; }
    asio::awaitable<absl::Status> respond(response answer) override;
    asio::awaitable<absl::Status> start_stream(std::vector<header> headers) override;
    asio::awaitable<absl::Status> write(std::string part) override;
    asio::awaitable<absl::Status> finish() override;
    void on_disconnect(std::function<void()> action) override;

    /// Ends the connection unless a request is being served, since the server's connections exceed
    /// a limit. Thread-safe.
    void shed_later();

private:
    asio::awaitable<bool> read_request();
    asio::awaitable<boost::system::error_code>
    read_body(wire::request_parser<wire::string_body>& parser);
    void report_holding(pressure::close_order order, std::size_t request_bytes);

    /// Answers a request that could not be read with `error`, unless its connection has ended, and
    /// closes the connection.
    asio::awaitable<void> refuse(boost::system::error_code error, framing_fault fault);
    asio::awaitable<void> watch_caller();
    void on_caller_disconnected();

    asio::any_io_executor strand_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_unparsed_bytes};
    server_options options_;
    std::shared_ptr<connection_table> table_;
    std::uint64_t number_ = 0; // In `table_`.
    core::instant waiting_since_{};
    pressure::close_order order_ = pressure::close_order::waiting;
    request received_;
    bool keep_alive_ = false;
    bool streaming_ = false;
    bool disconnected_ = false;
    bool shed_ = false;
    std::function<void()> on_disconnect_;
};

} // namespace ej::http
