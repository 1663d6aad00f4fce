#include "transitions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ej::actions {

action_effect answer(waiter_id waiter, action_outcome outcome)
{
    return {effect_kind::answer, waiter, std::move(outcome), {}, {}, {}};
}

transition with(action_state state, std::vector<action_effect> effects)
{
    return {std::move(state), std::move(effects)};
}

transition settled(action_state state, action_phase phase, action_outcome outcome)
{
    std::vector<action_effect> effects;
    std::ranges::transform(
        state.waiting, std::back_inserter(effects),
        [&](const submission& waiting) { return answer(waiting.waiter, outcome); });
    state.phase = phase;
    state.waiting.clear();
    state.outcome = std::move(outcome);
    return with(std::move(state), std::move(effects));
}

action_state with_waiter(action_state state, const submission& arrival)
{
    state.deadline = std::max(state.deadline, arrival.deadline);
    state.waiting.push_back(arrival);
    return state;
}

transition without_expired(action_state state, core::instant at)
{
    const auto expired = std::ranges::stable_partition(
        state.waiting, [&](const submission& waiting) { return waiting.deadline > at; });
    std::vector<action_effect> effects;
    std::ranges::transform(expired, std::back_inserter(effects), [](const submission& waiting) {
        return answer(waiting.waiter, unknown(unknown_reason::timed_out));
    });
    state.waiting.erase(expired.begin(), expired.end());
    return with(std::move(state), std::move(effects));
}

transition connecting(action_state state)
{
    state.phase = action_phase::connecting;
    state.attempt = state.attempt.next();
    const action_effect connect{effect_kind::connect, state.source, {}, {}, {}, state.attempt};
    return with(std::move(state), {connect});
}

} // namespace ej::actions
