#include "asio.h"

#include "action_runner.h"

#include "action_replies.h"
#include "outcome_slot.h"
#include "replies.h"

#include <actions_wire/action_digests.h>

#include <utility>

namespace ej::runtime {

namespace {

using actions::action_outcome;

core::instant now()
{
    return std::chrono::steady_clock::now();
}

bool names(const actions::ticket& parsed_ticket, const short_call& call)
{
    return parsed_ticket.workspace == call.workspace && parsed_ticket.work == call.work_class.name;
}

} // namespace

action_runner::action_runner(std::shared_ptr<daemon_context> shared, actions::owner self,
                             std::shared_ptr<action_driver> driver,
                             const actions::claim_limits& limits)
    : shared_(std::move(shared)), driver_(std::move(driver)),
      tickets_(std::move(self), ticket_lifetime), codec_(shared_->settings.fleet_secrets),
      retention_(limits.retention), started_(now())
{
}

std::string action_runner::issue_ticket(core::workspace_id workspace, core::class_id work)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - started_);
    return codec_.seal(tickets_.issue(std::move(workspace), std::move(work), age));
}

asio::awaitable<http::response> action_runner::run(short_call call)
{
    if (call.key.empty()) {
        co_return refusal(core::refusal_reason::malformed, "Idempotency-Key is missing");
    }
    const auto parsed_ticket = codec_.open(call.key.text());
    if (parsed_ticket && !names(*parsed_ticket, call)) {
        co_return refusal(core::refusal_reason::malformed, "the ticket is for other work");
    }
    const auto outcome = co_await outcome_of(std::move(call), std::nullopt);
    co_return reply_of(outcome, *shared_);
}

asio::awaitable<action_outcome>
action_runner::outcome_of(short_call call, std::optional<actions::claim_nonce> forwarded)
{
    const auto deadline = call.deadline;
    const auto action = actions_wire::action_id_of(call.workspace, call.key);
    const auto slot = co_await outcome_slot::on_this_strand();
    open_action opened{std::make_shared<const short_call>(std::move(call)),
                       [slot](const action_outcome& received_outcome) {
                           outcome_slot::complete(slot, received_outcome);
                       }};
    submit(action, actions::waiter_id(++last_waiter_), std::move(opened), forwarded);
    co_await slot->wait_until(deadline);
    if (!slot->received_outcome()) {
        driver_->pass_deadline(action);
        co_await slot->wait_until(core::instant::max());
    }
    co_return *slot->received_outcome();
}

void action_runner::submit(const actions::action_id& action, actions::waiter_id waiter,
                           open_action opened, std::optional<actions::claim_nonce> forwarded)
{
    const short_call& call = *opened.call;
    const auto parsed_ticket = codec_.open(call.key.text());
    actions::submission arrival;
    arrival.waiter = waiter;
    arrival.origin =
        forwarded ? actions::action_origin::forwarded_claim : actions::action_origin::claim;
    arrival.digest =
        actions_wire::digest_of(call.work_class.name, call.wanted.path, call.wanted.body);
    arrival.deadline = call.deadline;
    arrival.keep_until = now() + retention_;
    arrival.nonce = forwarded.value_or(actions::claim_nonce());
    arrival.draining = shared_->in_flight_requests.draining();
    if (parsed_ticket && !tickets_.issued(*parsed_ticket)) {
        if (forwarded) {
            opened.complete(actions::unknown(actions::unknown_reason::owner_gone));
            return;
        }
        driver_->open(waiter, std::move(opened));
        driver_->forward(waiter, parsed_ticket->issuer, {});
        return;
    }
    if (parsed_ticket) {
        arrival.origin = actions::action_origin::ticket;
        arrival.keep_until = started_ + parsed_ticket->expires_after_start;
    }
    driver_->submit(action, arrival, std::move(opened));
}

} // namespace ej::runtime
