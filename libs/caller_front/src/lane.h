#pragma once

#include "caller_connection.h"
#include "front_context.h"
#include "net.h"
#include "upstream_pool.h"

#include <memory>
#include <thread>
#include <vector>

namespace ej::front {

/// A thread that serves callers: its connections, their calls and the connections to endpoints stay
/// on it, so that they need no lock.
class lane {
public:
    /// `context` outlives the lane.
    explicit lane(front_context& context);

    /// Ends the thread.
    ~lane();
    lane(const lane&) = delete;
    lane& operator=(const lane&) = delete;
    lane(lane&&) = delete;
    lane& operator=(lane&&) = delete;

    [[nodiscard]] asio::io_context& loop() { return loop_; }

    /// Serves a caller's connection; called from any thread.
    void serve(tcp::socket socket);

    /// Closes callers' connections on which no request is read or answered.
    void close_idle();

    /// Gives all requests that are being answered their final answer.
    void end_calls();

    /// Starts the thread.
    void run();

    /// Ends the thread; nothing is served any more.
    void stop();

private:
    void for_each_caller(void (caller_connection::*action)());

    front_context& context_;
    asio::io_context loop_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    upstream_pool pool_;
    std::vector<std::weak_ptr<caller_connection>> callers_;
    std::size_t swept_at_ = 64; // Ended connections are forgotten when the list grows this long.
    std::thread thread_;
};

} // namespace ej::front
