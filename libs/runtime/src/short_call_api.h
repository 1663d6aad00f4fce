#pragma once

#include "daemon_context.h"
#include "short_call_runner.h"

#include <core/work_kind.h>
#include <http/exchange.h>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>

namespace ej::runtime {

/// Handles POST /v1/requests with the runner for the class's kind. Thread-safe.
class short_call_api {
public:
    using runner_map = std::map<core::work_kind, std::shared_ptr<short_call_runner>>;

    short_call_api(std::shared_ptr<daemon_context> shared, runner_map runners)
        : shared_(std::move(shared)), runners_(std::move(runners))
    {
    }

    /// Parses the request, runs it and responds.
    boost::asio::awaitable<void> handle(std::shared_ptr<http::exchange> call,
                                        core::workspace_id workspace) const;

private:
    boost::asio::awaitable<http::response> answer(std::shared_ptr<http::exchange> call,
                                                  core::workspace_id workspace) const;

    std::shared_ptr<daemon_context> shared_;
    runner_map runners_;
};

} // namespace ej::runtime
