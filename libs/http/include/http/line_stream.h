#pragma once

#include <http/call_options.h>
#include <http/request.h>

#include <core/address.h>
#include <core/instant.h>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace ej::http {

/// An answer that is read line by line while the server still sends it.
/// Used on one strand; `close` may be called on it while a read is pending.
class line_stream {
public:
    /// Sends `outgoing` to `destination` and reads the answer's header.
    /// Errors: as `client::fetch`; NotFound for status 404; FailedPrecondition for any other status
    /// than 200.
    static boost::asio::awaitable<absl::StatusOr<std::shared_ptr<line_stream>>>
    open(core::address destination, request outgoing, call_options options);

    explicit line_stream(core::duration connect_timeout);
    ~line_stream();
    line_stream(const line_stream&) = delete;
    line_stream& operator=(const line_stream&) = delete;
    line_stream(line_stream&&) = delete;
    line_stream& operator=(line_stream&&) = delete;

    /// The next line without its line feed; nullopt after the last one.
    /// Errors: DeadlineExceeded when no data arrived for `silence`, Aborted when the connection
    /// broke, ResourceExhausted when a line is longer than 1 MB.
    boost::asio::awaitable<absl::StatusOr<std::optional<std::string>>>
    next_line(core::duration silence);

    /// Closes the connection; a pending read ends with Aborted.
    void close();

private:
    struct connection;
    std::shared_ptr<connection> connection_;
    core::duration connect_timeout_;
};

} // namespace ej::http
