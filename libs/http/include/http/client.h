#pragma once

#include <http/call_options.h>
#include <http/request.h>
#include <http/response.h>

#include <core/address.h>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace ej::http {

/// Calls HTTP servers and keeps idle connections for the next call. Thread-safe.
///
/// A connection is kept only after a whole answer was read from it, so that the next call cannot
/// read a late answer of this one. Errors: Unavailable when nothing was sent, Aborted when the
/// connection broke after sending began, DeadlineExceeded when the deadline passed after sending
/// began, ResourceExhausted when the answer's body is too long.
class client {
public:
    /// Connections run on strands of `executor`.
    explicit client(boost::asio::any_io_executor executor);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// Sends `outgoing` to `destination` and reads the whole answer.
    boost::asio::awaitable<absl::StatusOr<response>> fetch(core::address destination,
                                                           request outgoing, call_options options);

private:
    struct pool;
    std::shared_ptr<pool> pool_;
};

} // namespace ej::http
