#include "asio.h"

#include "short_call_api.h"

#include "in_flight_guard.h"
#include "replies.h"

#include <core/findings.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace ej::runtime {

namespace {

// A class may be unknown only at this daemon, if its configuration is behind: an action with the
// same key may have run through another daemon.
http::response unknown_class(const core::idempotency_key& key)
{
    if (key.empty()) {
        return refusal(core::refusal_reason::unknown_class);
    }
    return outcome_unknown(core::to_string(core::refusal_reason::unknown_class));
}

} // namespace

asio::awaitable<void> short_call_api::handle(std::shared_ptr<http::exchange> call,
                                             core::workspace_id workspace) const
{
    auto reply = co_await answer(call, std::move(workspace));
    co_await call->respond(std::move(reply));
}

asio::awaitable<http::response> short_call_api::answer(std::shared_ptr<http::exchange> call,
                                                       core::workspace_id workspace) const
{
    core::findings faults;
    short_call wanted;
    wanted.workspace = std::move(workspace);
    wanted.wanted = wire::parse_short_request(call->received().body, faults);
    wanted.key = core::idempotency_key(
        call->received().header_value("Idempotency-Key").value_or(std::string()));
    if (!faults.empty()) {
        co_return refusal_of(faults.status());
    }
    const auto classes = shared_->classes.load();
    const auto found = classes->find(wanted.wanted.work_class);
    const auto runner =
        found == classes->end() ? runners_.end() : runners_.find(found->second.kind);
    if (runner == runners_.end()) {
        co_return unknown_class(wanted.key);
    }
    std::optional<in_flight_guard> counted;
    if (shared_->in_flight_requests.enter()) {
        counted.emplace(shared_->in_flight_requests);
    }
    else if (!runner->second->accepts_while_draining()) {
        co_return refusal(core::refusal_reason::draining);
    }
    wanted.work_class = found->second;
    wanted.deadline = std::chrono::steady_clock::now() + wanted.work_class.target.finish;
    co_return co_await runner->second->run(std::move(wanted));
}

} // namespace ej::runtime
