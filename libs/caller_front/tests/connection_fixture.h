#pragma once

#include "caller_connection.h"
#include "caller_table.h"
#include "front_context.h"
#include "upstream_pool.h"
#include "waiting_calls.h"

#include <core/instant.h>

#include <memory>
#include <string>

namespace ej::front {

/// A caller's connection whose lane runs only when a test runs it. The daemon has no routes: each
/// request is rejected at once.
class connection_fixture {
public:
    /// A connection that waits for its first request.
    explicit connection_fixture(core::duration idle_timeout);

    /// Puts a configuration with this idle limit in force.
    void configure(core::duration idle_timeout);

    /// Sends `text` from the caller; returns when the daemon's socket has received it.
    void send(const std::string& text);

    /// Runs what is ready on the lane.
    void run_ready();

    /// Runs one handler on the lane, if one is ready.
    void run_one();

    /// Sleeps, without running the lane, until `time` has passed.
    static void pass(core::duration time);

    /// Reads what the daemon has sent, until it closes the connection or has nothing more to do.
    [[nodiscard]] std::string received();

    /// Reads one byte at the caller. Returns the error, `would_block` if nothing has arrived.
    [[nodiscard]] error_code next_read();

    front_context context;
    asio::io_context lane{1};
    upstream_pool pool{lane};
    waiting_calls waiting{context, lane};
    std::shared_ptr<caller_table> callers = std::make_shared<caller_table>(context, lane);
    tcp::socket caller{lane};
    std::shared_ptr<caller_connection> connection;

private:
    asio::ip::tcp::acceptor acceptor_;
};

/// The text of a request without a body.
[[nodiscard]] std::string plain_request();

} // namespace ej::front
