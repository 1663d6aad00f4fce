#include "asio.h"

#include "ticket_api.h"

#include "replies.h"

#include <actions_wire/ticket_messages.h>
#include <core/findings.h>

namespace ej::runtime {

asio::awaitable<void> ticket_api::handle(std::shared_ptr<http::exchange> call,
                                         core::workspace_id workspace) const
{
    auto reply = answer(call->received(), workspace);
    co_await call->respond(std::move(reply));
}

http::response ticket_api::answer(const http::request& wanted,
                                  const core::workspace_id& workspace) const
{
    core::findings faults;
    const auto work = actions_wire::parse_ticket_request(wanted.body, faults);
    if (!faults.empty()) {
        return refusal_of(faults.status());
    }
    const auto classes = shared_->classes.load();
    const auto found = classes->find(work);
    if (found == classes->end() || found->second.kind != core::work_kind::non_idempotent) {
        return refusal(core::refusal_reason::unknown_class);
    }
    if (shared_->in_flight_requests.draining()) {
        return refusal(core::refusal_reason::draining);
    }
    constexpr unsigned created = 201;
    return {created,
            {{"Content-Type", "application/json"}},
            actions_wire::ticket_body(runner_->issue_ticket(workspace, work),
                                      action_runner::ticket_lifetime)};
}

} // namespace ej::runtime
