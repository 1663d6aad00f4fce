#pragma once

#include <core/endpoint.h>
#include <core/instant.h>
#include <generation/event.h>
#include <generation/event_kind.h>
#include <http/client.h>
#include <http/line_stream.h>
#include <wire/engine_position.h>
#include <wire/engine_request.h>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace ej::runtime {

/// Maps the error of opening an attempt's connection to an event kind; empty for OK.
[[nodiscard]] std::optional<generation::event_kind> failure_of(const absl::Status& opened);

/// The connection of one generation to the engine that runs its current attempt. Used on one
/// strand; `close` may be called while another call is suspended.
class engine_connection {
public:
    explicit engine_connection(std::shared_ptr<http::client> calls) : calls_(std::move(calls)) {}

    /// Starts an attempt. Errors: as http::line_stream::open.
    boost::asio::awaitable<absl::Status> open(core::endpoint engine, wire::engine_request order,
                                              core::duration bound);

    /// Connects to a running attempt. Errors: as http::line_stream::open.
    boost::asio::awaitable<absl::Status>
    attach(core::endpoint engine, wire::engine_position position, core::duration bound);

    /// The next event of the stream; `closed` if there is no connection, `silent` after `silence`
    /// without data.
    boost::asio::awaitable<generation::event> next(core::attempt_number attempt,
                                                   core::duration silence);

    /// Queries the engine for the attempt's status over a new connection: `alive` with the number
    /// of tokens made, `forgotten` or `unreachable`.
    boost::asio::awaitable<generation::event>
    check(core::endpoint engine, wire::engine_position position, core::duration bound);

    /// Cancels an attempt; the engine's response is ignored.
    boost::asio::awaitable<void> cancel(core::endpoint engine, wire::engine_position position);

    /// Closes the connection.
    void close();

private:
    boost::asio::awaitable<absl::Status> connect(core::endpoint engine, std::string target,
                                                 std::string body, core::duration bound);

    std::shared_ptr<http::client> calls_;
    std::shared_ptr<http::line_stream> stream_;
};

} // namespace ej::runtime
