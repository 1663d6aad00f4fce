#pragma once

#include "daemon_context.h"
#include "short_call_api.h"
#include "ticket_api.h"

#include <http/exchange.h>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace ej::runtime {

/// Handles callers' HTTP requests. Thread-safe; each call runs on its connection's strand.
class caller_api {
public:
    caller_api(std::shared_ptr<daemon_context> shared, std::shared_ptr<short_call_api> short_calls,
               std::shared_ptr<ticket_api> tickets)
        : shared_(std::move(shared)), short_calls_(std::move(short_calls)),
          tickets_(std::move(tickets))
    {
    }

    /// Answers one request.
    boost::asio::awaitable<void> handle(std::shared_ptr<http::exchange> call) const;

private:
    using action = boost::asio::awaitable<void> (caller_api::*)(std::shared_ptr<http::exchange>,
                                                                core::workspace_id) const;
    struct route;

    static const route* find_route(const http::request& call);

    boost::asio::awaitable<void> start_generation(std::shared_ptr<http::exchange> call,
                                                  core::workspace_id workspace) const;
    boost::asio::awaitable<void> resume_generation(std::shared_ptr<http::exchange> call,
                                                   core::workspace_id workspace) const;

    boost::asio::awaitable<void> run_short_call(std::shared_ptr<http::exchange> call,
                                                core::workspace_id workspace) const;

    boost::asio::awaitable<void> issue_ticket(std::shared_ptr<http::exchange> call,
                                              core::workspace_id workspace) const;

    std::shared_ptr<daemon_context> shared_;
    std::shared_ptr<short_call_api> short_calls_;
    std::shared_ptr<ticket_api> tickets_;
};

} // namespace ej::runtime
