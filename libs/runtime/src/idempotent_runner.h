#pragma once

#include "daemon_context.h"
#include "short_call_runner.h"

#include <fairness/queued_request.h>
#include <retry/retry_verdict.h>
#include <routing/endpoint_assignment.h>

#include <memory>

namespace ej::runtime {

/// Runs idempotent calls; after a failure tries again at other endpoints, within the retry budget
/// and the deadline.
class idempotent_runner final : public short_call_runner {
public:
    explicit idempotent_runner(std::shared_ptr<daemon_context> shared) : shared_(std::move(shared))
    {
    }

    boost::asio::awaitable<http::response> run(short_call call) override;

private:
    boost::asio::awaitable<absl::StatusOr<http::response>>
    try_once(const short_call& call, routing::endpoint_assignment where);
    [[nodiscard]] retry::retry_verdict
    retry_after(const short_call& call, const absl::StatusOr<http::response>& answer) const;
    [[nodiscard]] fairness::queued_request queued_request_of(const short_call& call) const;

    std::shared_ptr<daemon_context> shared_;
};

} // namespace ej::runtime
