#pragma once

#include "action_runner.h"
#include "daemon_context.h"

#include <http/exchange.h>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <utility>

namespace ej::runtime {

/// Handles POST /v1/tickets. Thread-safe.
class ticket_api {
public:
    ticket_api(std::shared_ptr<daemon_context> shared, std::shared_ptr<action_runner> runner)
        : shared_(std::move(shared)), runner_(std::move(runner))
    {
    }

    /// Responds with a new ticket or a refusal.
    boost::asio::awaitable<void> handle(std::shared_ptr<http::exchange> call,
                                        core::workspace_id workspace) const;

private:
    [[nodiscard]] http::response answer(const http::request& wanted,
                                        const core::workspace_id& workspace) const;

    std::shared_ptr<daemon_context> shared_;
    std::shared_ptr<action_runner> runner_;
};

} // namespace ej::runtime
