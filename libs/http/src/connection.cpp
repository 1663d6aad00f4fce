#include "connection.h"

#include <string>

namespace ej::http {

asio::awaitable<absl::Status> connect(std::shared_ptr<connection_state> state, core::address where,
                                      core::duration timeout)
{
    boost::system::error_code error;
    const auto number = asio::ip::make_address(where.host, error);
    if (error) {
        co_return absl::UnavailableError(where.host + " is no IP number");
    }
    state->stream.expires_after(timeout);
    co_await state->stream.async_connect(tcp::endpoint(number, where.port), no_throw(error));
    if (error) {
        co_return absl::UnavailableError("connect to " + core::to_string(where) + ": " +
                                         error.message());
    }
    state->stream.socket().set_option(tcp::no_delay(true), error);
    co_return absl::OkStatus();
}

absl::Status broken(const boost::system::error_code& error)
{
    if (error == beast::error::timeout) {
        return absl::DeadlineExceededError("no answer in time");
    }
    if (error == wire::error::body_limit) {
        return absl::ResourceExhaustedError("answer is too long");
    }
    return absl::AbortedError("connection broke: " + error.message());
}

} // namespace ej::http
