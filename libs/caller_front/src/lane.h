#pragma once

#include "caller_connection.h"
#include "caller_table.h"
#include "front_context.h"
#include "net.h"
#include "upstream_pool.h"
#include "waiting_calls.h"

#include <memory>
#include <thread>

namespace ej::front {

/// An event-loop thread that serves callers. Callers' connections, their calls and the connections
/// to endpoints stay on one lane and need no lock.
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

    /// Closes callers' connections that have no request in progress.
    void close_idle();

    /// Refuses the requests that no endpoint has begun and that would outlast a leaving daemon.
    void review_calls();

    /// Ends all running calls with their final answer.
    void end_calls();

    /// Starts the thread.
    void run();

    /// Stops the loop and joins the thread.
    void stop();

private:
    void for_each_caller(void (caller_connection::*action)());

    front_context& context_;
    asio::io_context loop_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    upstream_pool pool_;
    waiting_calls waiting_;
    std::shared_ptr<caller_table> callers_;
    std::thread thread_;
};

} // namespace ej::front
