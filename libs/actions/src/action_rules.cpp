#include <actions/action_rules.h>

#include "rules_table.h"
#include "transitions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::actions {

transition action_rules::apply(const action_state& state, const action_event& event) const
{
    const auto handler = table::rows.at(static_cast<std::size_t>(state.phase))
                             .at(static_cast<std::size_t>(event.kind));
    return (this->*handler)(state, event);
}

transition action_rules::ignore(const action_state& state, const action_event& /*event*/) const
{
    return with(state, {});
}

transition action_rules::start(const action_state& state, const action_event& event) const
{
    const submission& arrival = event.arrival;
    // The record may have been dropped, so its absence does not prove that the action did not run.
    if (arrival.origin == action_origin::forwarded_claim || arrival.keep_until <= event.at) {
        return with(state, {answer(arrival.waiter, unknown(unknown_reason::record_expired))});
    }
    action_state next = with_waiter(state, arrival);
    next.keep_until = arrival.keep_until;
    if (arrival.origin == action_origin::ticket) {
        next.digest = arrival.digest;
        next.source = arrival.waiter;
        return arrival.draining ? settled(std::move(next), action_phase::refused,
                                          not_run(core::refusal_reason::draining))
                                : connecting(std::move(next));
    }
    // Until the key is bound to this daemon, another one may run the action, so "not run" would be
    // wrong.
    if (arrival.draining) {
        return with(state, {answer(arrival.waiter, unknown(unknown_reason::draining))});
    }
    next.phase = action_phase::claiming;
    next.nonce = event.nonce;
    const action_effect claim{effect_kind::claim, {}, {}, {}, next.nonce, {}};
    return with(std::move(next), {claim});
}

transition action_rules::join(const action_state& state, const action_event& event) const
{
    if (event.arrival.digest != state.digest) {
        return with(state,
                    {answer(event.arrival.waiter, not_run(core::refusal_reason::key_conflict))});
    }
    return with(with_waiter(state, event.arrival), {});
}

transition action_rules::join_claim(const action_state& state, const action_event& event) const
{
    // Digests are compared only once the key is bound; until then another daemon may run either
    // request.
    return with(with_waiter(state, event.arrival), {});
}

transition action_rules::reclaim(const action_state& state, const action_event& event) const
{
    const submission& arrival = event.arrival;
    if (arrival.origin == action_origin::forwarded_claim) {
        const bool same_claim = arrival.nonce == state.nonce;
        return same_claim
                   ? begin_owned(with_waiter(state, arrival), event)
                   : with(state, {answer(arrival.waiter, unknown(unknown_reason::record_expired))});
    }
    action_state next = with_waiter(state, arrival);
    next.phase = action_phase::claiming;
    const action_effect claim{effect_kind::claim, {}, {}, {}, next.nonce, {}};
    return with(std::move(next), {claim});
}

transition action_rules::repeat_outcome(const action_state& state, const action_event& event) const
{
    // Without a digest, any request under this key may be the one that ran.
    const bool same = !state.digest || event.arrival.digest == *state.digest;
    return with(state,
                {answer(event.arrival.waiter,
                        same ? state.outcome : not_run(core::refusal_reason::key_conflict))});
}

transition action_rules::forward_to_owner(const action_state& state,
                                          const action_event& event) const
{
    return with(state,
                {{effect_kind::forward, event.arrival.waiter, {}, state.owner, state.nonce, {}}});
}

transition action_rules::begin_owned(const action_state& state, const action_event& event) const
{
    transition current = without_expired(state, event.at);
    if (current.next.waiting.empty()) {
        current.next.phase = action_phase::claim_abandoned;
        return current;
    }
    current.next.digest = current.next.waiting.front().digest;
    current.next.source = current.next.waiting.front().waiter;
    const auto others =
        std::ranges::stable_partition(current.next.waiting, [&](const submission& waiting) {
            return waiting.digest == current.next.digest;
        });
    std::ranges::transform(
        others, std::back_inserter(current.effects), [](const submission& waiting) {
            return answer(waiting.waiter, not_run(core::refusal_reason::key_conflict));
        });
    current.next.waiting.erase(others.begin(), others.end());
    current.next.deadline =
        std::ranges::max(current.next.waiting, {}, &submission::deadline).deadline;
    transition started = connecting(std::move(current.next));
    std::ranges::move(started.effects, std::back_inserter(current.effects));
    return with(std::move(started.next), std::move(current.effects));
}

transition action_rules::forward_waiters(const action_state& state, const action_event& event) const
{
    action_state next = state;
    next.phase = action_phase::owned_elsewhere;
    next.owner = event.owner;
    next.nonce = event.nonce;
    next.waiting.clear();
    std::vector<action_effect> effects;
    std::ranges::transform(state.waiting, std::back_inserter(effects),
                           [&](const submission& waiting) {
                               return action_effect{effect_kind::forward, waiting.waiter, {},
                                                    next.owner,           next.nonce,     {}};
                           });
    return with(std::move(next), std::move(effects));
}

transition action_rules::finish_unknown(const action_state& state,
                                        const action_event& /*event*/) const
{
    return settled(state, action_phase::unknown, unknown(unknown_reason::record_expired));
}

transition action_rules::give_up_claim(const action_state& state, const action_event& event) const
{
    return settled(state, action_phase::claim_abandoned, unknown(event.unknown_cause));
}

transition action_rules::expire_claim(const action_state& state, const action_event& event) const
{
    transition current = without_expired(state, event.at);
    if (current.next.waiting.empty()) {
        current.next.phase = action_phase::claim_abandoned;
    }
    return current;
}

transition action_rules::reject(const action_state& state, const action_event& event) const
{
    return settled(state, action_phase::refused, not_run(event.refusal));
}

transition action_rules::send(const action_state& state, const action_event& event) const
{
    if (event.attempt != state.attempt) {
        return with(state, {});
    }
    if (event.at >= state.deadline) {
        return settled(state, action_phase::refused, not_run(core::refusal_reason::expired));
    }
    action_state next = state;
    next.phase = action_phase::sent;
    return with(std::move(next), {{effect_kind::send, state.source, {}, {}, {}, state.attempt}});
}

transition action_rules::retry(const action_state& state, const action_event& event) const
{
    if (event.attempt != state.attempt) {
        return with(state, {});
    }
    if (event.at >= state.deadline) {
        return settled(state, action_phase::refused, not_run(core::refusal_reason::expired));
    }
    if (state.attempt.value() >= limits_.max_attempts) {
        return settled(state, action_phase::refused, not_run(core::refusal_reason::no_endpoint));
    }
    return connecting(state);
}

transition action_rules::expire_unsent(const action_state& state, const action_event& event) const
{
    if (event.at >= state.deadline) {
        return settled(state, action_phase::refused, not_run(core::refusal_reason::expired));
    }
    return without_expired(state, event.at);
}

transition action_rules::expire_waiters(const action_state& state, const action_event& event) const
{
    return without_expired(state, event.at);
}

transition action_rules::finish(const action_state& state, const action_event& event) const
{
    if (event.attempt != state.attempt) {
        return with(state, {});
    }
    return settled(state, action_phase::ran, ran(event.result));
}

transition action_rules::handle_connection_loss(const action_state& state,
                                                const action_event& event) const
{
    if (event.attempt != state.attempt) {
        return with(state, {});
    }
    return settled(state, action_phase::unknown, unknown(unknown_reason::connection_lost));
}

transition action_rules::drop_result(const action_state& state, const action_event& /*event*/) const
{
    action_state next = state;
    next.outcome.result.reset();
    return with(std::move(next), {});
}

} // namespace ej::actions
