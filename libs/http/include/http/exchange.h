#pragma once

#include <http/request.h>
#include <http/response.h>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace ej::http {

/// One request that a server received, and the functions to answer it: `respond` once, or
/// `start_stream`, `write` any number of times, `finish`. Used on its connection's strand.
class exchange {
public:
    exchange() = default;
    virtual ~exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    /// The complete request.
    [[nodiscard]] virtual const request& received() const = 0;

    /// Sends a whole answer. Error: Aborted when the caller has disconnected.
    virtual boost::asio::awaitable<absl::Status> respond(response answer) = 0;

    /// Sends the header of a streamed answer. Error: Aborted when the caller has disconnected.
    virtual boost::asio::awaitable<absl::Status> start_stream(std::vector<header> headers) = 0;

    /// Sends a part; completes when the kernel has accepted it, which gives backpressure.
    /// Errors: Aborted when the caller has disconnected, DeadlineExceeded when it does not read.
    virtual boost::asio::awaitable<absl::Status> write(std::string part) = 0;

    /// Ends a streamed answer.
    virtual boost::asio::awaitable<absl::Status> finish() = 0;

    /// Calls `action` once on the strand when the caller disconnects during a streamed answer.
    virtual void on_disconnect(std::function<void()> action) = 0;
};

} // namespace ej::http
