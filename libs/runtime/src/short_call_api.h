#pragma once

#include "services.h"
#include "short_call_runner.h"

#include <core/work_kind.h>
#include <http/exchange.h>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>

namespace ej::runtime {

/// Answers POST /v1/requests by the runner of the class's kind. Thread-safe.
class short_call_api {
public:
    using runner_map = std::map<core::work_kind, std::shared_ptr<short_call_runner>>;

    short_call_api(std::shared_ptr<services> shared, runner_map runners)
        : shared_(std::move(shared)), runners_(std::move(runners))
    {
    }

    /// Reads the request, runs it and answers.
    boost::asio::awaitable<void> handle(std::shared_ptr<http::exchange> call,
                                        core::workspace_id workspace) const;

private:
    boost::asio::awaitable<http::response> answer(std::shared_ptr<http::exchange> call,
                                                  core::workspace_id workspace) const;

    std::shared_ptr<services> shared_;
    runner_map runners_;
};

} // namespace ej::runtime
