#include "asio.h"

#include "idempotent_runner.h"

#include "application_call.h"
#include "replies.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace ej::runtime {

namespace {

constexpr unsigned first_server_error = 500;

core::instant now()
{
    return std::chrono::steady_clock::now();
}

// True if the call is known not to have run: nothing was sent, or the response has the header
// Not-Run.
bool known_not_run(const absl::StatusOr<http::response>& answer)
{
    return answer.ok() ? answer->header_value("Not-Run") == "true"
                       : absl::IsUnavailable(answer.status());
}

} // namespace

asio::awaitable<http::response> idempotent_runner::run(short_call call)
{
    const auto queued = queued_request_of(call);
    shared_->budgets.first_attempt(call.work_class.name, call.work_class.target, queued.work);
    bool may_have_run = false;
    std::vector<core::endpoint_id> lost_at;
    auto entry = co_await shared_->gate.enter(call.work_class, queued);
    while (entry.placed) {
        const auto began = now();
        auto answer = co_await try_once(call, *entry.placed);
        if (answer.ok() && answer->status < first_server_error) {
            shared_->gate.record_finished(call.work_class.name, queued, began);
            co_return done(answer->body);
        }
        may_have_run = may_have_run || !known_not_run(answer);
        if (retry_after(call, answer) != retry::retry_verdict::retry) {
            co_return may_have_run ? outcome_unknown("endpoint_failed")
                                   : refusal(core::refusal_reason::no_endpoint);
        }
        shared_->metrics.count("retries_total", {{"reason", "endpoint_failed"}});
        lost_at.push_back(entry.placed->endpoint);
        entry = co_await shared_->gate.enter_again(call.work_class, queued, lost_at);
    }
    if (may_have_run) {
        co_return outcome_unknown("endpoint_failed");
    }
    shared_->metrics.count("refusals_total",
                           {{"reason", std::string(core::to_string(entry.refused.reason))}});
    co_return refusal(entry.refused);
}

fairness::queued_request idempotent_runner::queued_request_of(const short_call& call) const
{
    fairness::queued_request queued;
    queued.request = shared_->ids.next();
    queued.workspace = call.workspace;
    queued.arrived = now();
    queued.finish_by = call.deadline;
    return queued;
}

retry::retry_verdict
idempotent_runner::retry_after(const short_call& call,
                               const absl::StatusOr<http::response>& answer) const
{
    retry::retry_request lost;
    lost.kind = core::work_kind::idempotent;
    lost.finish_by = call.deadline;
    if (!known_not_run(answer)) {
        lost.lost = retry::may_have_run{};
    }
    return shared_->budgets.request_retry(call.work_class.name, lost, now());
}

asio::awaitable<absl::StatusOr<http::response>>
idempotent_runner::try_once(const short_call& call, routing::endpoint_assignment where)
{
    const auto began = now();
    const auto endpoint = shared_->endpoints.find(where.endpoint);
    absl::StatusOr<http::response> answer = absl::UnavailableError("endpoint is gone");
    if (endpoint) {
        answer = co_await call_application(shared_->calls, endpoint->where, call, true);
    }
    const bool finished = answer.ok() && answer->status < first_server_error;
    const auto kind = finished ? routing::outcome_kind::finished : routing::outcome_kind::failed;
    const routing::outcome outcome{kind, 1, now() - began};
    shared_->gate.release_endpoint(where, outcome);
    co_return answer;
}

} // namespace ej::runtime
