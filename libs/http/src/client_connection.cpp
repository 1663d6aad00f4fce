#include "client_connection.h"

#include <string>

namespace ej::http {

asio::awaitable<absl::Status> connect(std::shared_ptr<client_connection> state,
                                      core::address destination, core::duration timeout)
{
    boost::system::error_code error;
    const auto number = asio::ip::make_address(destination.host, error);
    if (error) {
        co_return absl::UnavailableError(destination.host + " is not an IP address");
    }
    state->stream.expires_after(timeout);
    co_await state->stream.async_connect(tcp::endpoint(number, destination.port), no_throw(error));
    if (error) {
        co_return absl::UnavailableError("connect to " + core::to_string(destination) + ": " +
                                         error.message());
    }
    state->stream.socket().set_option(tcp::no_delay(true), error);
    co_return absl::OkStatus();
}

absl::Status failure_status(const boost::system::error_code& error)
{
    if (error == beast::error::timeout) {
        return absl::DeadlineExceededError("no answer within the deadline");
    }
    if (error == wire::error::body_limit || error == wire::error::header_limit ||
        error == wire::error::buffer_overflow) {
        return absl::ResourceExhaustedError("answer exceeds the size limit");
    }
    return absl::AbortedError("connection broke: " + error.message());
}

} // namespace ej::http
