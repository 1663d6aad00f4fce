#include "asio.h"

#include "action_attempt.h"

#include "application_call.h"

#include <chrono>
#include <string>
#include <utility>

namespace ej::runtime {

namespace {

using actions::action_event;
using actions::event_kind;

core::instant now()
{
    return std::chrono::steady_clock::now();
}

// The action is known not to have run only if the call failed before the first byte was sent, or if
// the application's response has the header Not-Run.
action_event event_of(const absl::StatusOr<http::response>& answer)
{
    action_event event;
    if (!answer.ok()) {
        event.kind = absl::IsUnavailable(answer.status()) ? event_kind::answered_not_run
                                                          : event_kind::connection_lost;
        return event;
    }
    if (answer->header_value("Not-Run") == "true") {
        event.kind = event_kind::answered_not_run;
        return event;
    }
    event.kind = event_kind::answered;
    event.result = {static_cast<std::uint16_t>(answer->status),
                    answer->header_value("Content-Type").value_or(std::string()), answer->body};
    return event;
}

} // namespace

asio::awaitable<std::optional<routing::endpoint_assignment>>
place_action(std::shared_ptr<daemon_context> shared, std::shared_ptr<const short_call> call)
{
    fairness::queued_request queued;
    queued.request = shared->ids.next();
    queued.workspace = call->workspace;
    queued.arrived = now();
    queued.finish_by = call->deadline;
    const auto entry = co_await shared->gate.enter(call->work_class, std::move(queued));
    if (!entry.placed) {
        shared->metrics.count("refusals_total",
                              {{"reason", std::string(core::to_string(entry.refused.reason))}});
    }
    co_return entry.placed;
}

asio::awaitable<action_event> send_action(std::shared_ptr<daemon_context> shared,
                                          routing::endpoint_assignment where,
                                          std::shared_ptr<const short_call> call)
{
    const auto began = now();
    const auto endpoint = shared->endpoints.find(where.endpoint);
    absl::StatusOr<http::response> answer = absl::UnavailableError("endpoint is gone");
    if (endpoint) {
        answer = co_await call_application(shared->calls, endpoint->where, *call, false);
    }
    const action_event event = event_of(answer);
    const auto kind = event.kind == event_kind::answered ? routing::outcome_kind::finished
                                                         : routing::outcome_kind::failed;
    shared->gate.release_endpoint(where, {kind, 1, now() - began});
    co_return event;
}

void release_unused(daemon_context& shared, const routing::endpoint_assignment& where)
{
    shared.gate.release_endpoint(where, {routing::outcome_kind::cancelled, 1, {}});
}

} // namespace ej::runtime
