#pragma once

#include "beast.h"
#include "parse_limits.h"

#include <core/address.h>
#include <core/instant.h>

#include <absl/status/status.h>

#include <memory>

namespace ej::http {

/// A client's TCP connection and the bytes that were read but not parsed.
struct client_connection {
    explicit client_connection(const asio::any_io_executor& strand)
        : executor(strand), stream(strand)
    {
    }

    asio::any_io_executor executor; ///< All work on the connection runs here.
    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    bool reusable = false; ///< A whole answer was read, and the server keeps the connection open.
};

/// Connects `state` to `destination`. Error: Unavailable.
asio::awaitable<absl::Status> connect(std::shared_ptr<client_connection> state,
                                      core::address destination, core::duration timeout);

/// The status of an operation that failed with `error` after sending began.
absl::Status failure_status(const boost::system::error_code& error);

} // namespace ej::http
