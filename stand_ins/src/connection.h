#pragma once

#include <utility>

#include "exchange.h"
#include "fault_control.h"
#include "service.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>

namespace ej::stand_ins {

/// Serves the calls of one connection sequentially, on one strand.
class connection final : public exchange {
public:
    connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<service> role,
               std::shared_ptr<fault_control> control);

    /// Serves calls until either side closes the connection.
    boost::asio::awaitable<void> run();

    [[nodiscard]] const http_request& request() const override { return request_; }

    boost::asio::awaitable<void> begin_stream() override;
    boost::asio::awaitable<void> send(const std::string& text) override;
    boost::asio::awaitable<void> end_stream() override;
    void abandon() override;

private:
    boost::asio::awaitable<void> read();
    boost::asio::awaitable<void> serve_call();
    boost::asio::awaitable<answer> make_answer();
    boost::asio::awaitable<answer> call_role();
    [[nodiscard]] answer serve_control();
    boost::asio::awaitable<void> write(const std::string& text);

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::shared_ptr<service> role_;
    std::shared_ptr<fault_control> control_;
    std::uint64_t opened_epoch_;
    http_request request_;
    bool control_call_ = false;
    bool open_ = true;
};

} // namespace ej::stand_ins
