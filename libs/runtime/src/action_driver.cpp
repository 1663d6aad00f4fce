#include "asio.h"

#include "action_driver.h"

#include "action_attempt.h"
#include <http/pause_for.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <utility>

namespace ej::runtime {

namespace {

using actions::action_effect;
using actions::action_event;
using actions::action_id;
using actions::effect_kind;
using actions::event_kind;

constexpr std::size_t max_result_bytes = std::size_t{32} << 20;

core::instant now()
{
    return std::chrono::steady_clock::now();
}

actions::wall_time wall_now()
{
    return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

action_event event_of(event_kind kind, core::attempt_number attempt = {})
{
    action_event event;
    event.kind = kind;
    event.attempt = attempt;
    return event;
}

bool contains(const std::vector<action_effect>& effects, effect_kind kind)
{
    return std::ranges::find(effects, kind, &action_effect::kind) != effects.end();
}

} // namespace

action_driver::action_driver(boost::asio::any_io_executor executor,
                             std::shared_ptr<daemon_context> shared, actions::owner self,
                             std::shared_ptr<claim_driver> claims,
                             std::shared_ptr<action_forwarder> peers)
    : executor_(std::move(executor)), shared_(std::move(shared)), self_(std::move(self)),
      claims_(std::move(claims)), peers_(std::move(peers)),
      clock_(actions::started(now(), wall_now())), records_({}, max_result_bytes)
{
}

void action_driver::start()
{
    claims_->on_verdict([self = weak_from_this()](const actions::claim_verdict& verdict) {
        if (const auto driver = self.lock()) {
            driver->settle_claim(verdict);
        }
    });
    asio::co_spawn(executor_, tick(shared_from_this()), asio::detached);
}

asio::awaitable<void> action_driver::tick(std::shared_ptr<action_driver> self)
{
    for (;;) {
        co_await http::pause_for(actions::tick_interval);
        self->clock_.update([](const actions::arrival_clock& clock) {
            return actions::after_tick(clock, now(), wall_now());
        });
        self->records_.expire(now());
    }
}

void action_driver::open(actions::waiter_id waiter, open_action opened)
{
    open_.with(waiter, [&](auto& entries) { entries.insert_or_assign(waiter, std::move(opened)); });
}

void action_driver::submit(const action_id& action, const actions::submission& arrival,
                           open_action opened)
{
    open(arrival.waiter, std::move(opened));
    action_event event = event_of(event_kind::submitted);
    event.arrival = arrival;
    apply(action, std::move(event));
}

void action_driver::pass_deadline(const action_id& action)
{
    apply(action, event_of(event_kind::deadline));
}

action_driver::effects action_driver::apply(const action_id& action, action_event event)
{
    static constexpr std::array<handler, 5> handlers{&action_driver::claim, &action_driver::connect,
                                                     &action_driver::send, &action_driver::pass_on,
                                                     &action_driver::answer};
    event.at = now();
    effects wanted = records_.apply(action, std::move(event));
    for (const action_effect& effect : wanted) {
        (this->*handlers.at(static_cast<std::size_t>(effect.kind)))(action, effect);
    }
    return wanted;
}

void action_driver::claim(const action_id& action, const action_effect& effect)
{
    claims_->bind({action, self_, effect.nonce, actions::earliest_arrival(*clock_.load())});
}

void action_driver::settle_claim(const actions::claim_verdict& verdict)
{
    constexpr std::array<event_kind, 4> kinds{event_kind::bound, event_kind::bind_conflict,
                                              event_kind::bind_stale, event_kind::bind_failed};
    action_event event = event_of(kinds.at(static_cast<std::size_t>(verdict.kind)));
    event.owner = verdict.owner;
    event.nonce = verdict.nonce;
    apply(verdict.claim.action, std::move(event));
}

action_driver::call_pointer action_driver::call_for(const action_id& action,
                                                    actions::waiter_id source)
{
    const auto submitted_call = open_.with(source, [&](auto& entries) {
        const auto found = entries.find(source);
        return found == entries.end() ? call_pointer() : found->second.call;
    });
    return running_.with(action, [&](auto& entries) {
        return entries.try_emplace(action, submitted_call).first->second;
    });
}

void action_driver::connect(const action_id& action, const action_effect& effect)
{
    asio::co_spawn(
        executor_,
        attempt(shared_from_this(), action, call_for(action, effect.waiter), effect.attempt),
        asio::detached);
}

// Does nothing: `run_attempt` sends the request when it sees this effect.
void action_driver::send(const action_id& /*action*/, const action_effect& /*effect*/) {}

asio::awaitable<void> action_driver::attempt(std::shared_ptr<action_driver> self, action_id action,
                                             call_pointer call, core::attempt_number number)
{
    auto next = co_await self->run_attempt(action, std::move(call), number);
    if (!contains(next, effect_kind::connect)) {
        self->running_.with(action, [&](auto& entries) { entries.erase(action); });
    }
}

asio::awaitable<action_driver::effects>
action_driver::run_attempt(action_id action, call_pointer call, core::attempt_number number)
{
    std::optional<routing::endpoint_assignment> where;
    if (call) {
        where = co_await place_action(shared_, call);
    }
    if (!where) {
        co_return apply(action, event_of(event_kind::connect_failed, number));
    }
    auto next = apply(action, event_of(event_kind::connected, number));
    if (!contains(next, effect_kind::send)) {
        release_unused(*shared_, *where);
        co_return next;
    }
    auto event = co_await send_action(shared_, *where, call);
    event.attempt = number;
    co_return apply(action, std::move(event));
}

void action_driver::pass_on(const action_id& /*action*/, const action_effect& effect)
{
    forward(effect.waiter, effect.owner, effect.nonce);
}

void action_driver::forward(actions::waiter_id waiter, const actions::owner& to,
                            actions::claim_nonce nonce)
{
    const auto call = open_.with(waiter, [&](auto& entries) {
        const auto found = entries.find(waiter);
        return found == entries.end() ? call_pointer() : found->second.call;
    });
    if (!call) {
        return;
    }
    const auto forward_and_answer =
        [](std::shared_ptr<action_driver> self, actions::waiter_id asking, actions::owner owner,
           actions::claim_nonce claim_nonce, call_pointer wanted) -> asio::awaitable<void> {
        action_effect answered;
        answered.waiter = asking;
        answered.outcome = co_await self->peers_->forward(owner, claim_nonce, *wanted);
        self->answer({}, answered);
    };
    asio::co_spawn(executor_, forward_and_answer(shared_from_this(), waiter, to, nonce, call),
                   asio::detached);
}

void action_driver::answer(const action_id& /*action*/, const action_effect& effect)
{
    const auto waiting =
        open_.with(effect.waiter, [&](auto& entries) { return entries.extract(effect.waiter); });
    if (waiting) {
        waiting.mapped().complete(effect.outcome);
    }
}

} // namespace ej::runtime
