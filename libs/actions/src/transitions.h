#pragma once

#include <actions/action_event.h>
#include <actions/transition.h>

/// Steps that several rules share; each returns a new transition.
namespace ej::actions {

/// The effect that tells `waiter` its outcome.
[[nodiscard]] action_effect answer(waiter_id waiter, action_outcome outcome);

/// `state` with `effects`.
[[nodiscard]] transition with(action_state state, std::vector<action_effect> effects);

/// `state` in a final phase with `outcome`, told to everyone who waits.
[[nodiscard]] transition settled(action_state state, action_phase phase, action_outcome outcome);

/// `state` with `arrival` among those who wait.
[[nodiscard]] action_state with_waiter(action_state state, const submission& arrival);

/// Tells those whose deadline has passed at `at` that the outcome is unknown.
[[nodiscard]] transition without_expired(action_state state, core::instant at);

/// The next connection attempt of `state`.
[[nodiscard]] transition connecting(action_state state);

} // namespace ej::actions
