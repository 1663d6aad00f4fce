#pragma once

#include <actions/action_event.h>
#include <actions/transition.h>

/// Steps shared by several action rules.
namespace ej::actions {

/// Returns the effect that answers `waiter` with `outcome`.
[[nodiscard]] action_effect answer(waiter_id waiter, action_outcome outcome);

/// Returns the transition to `state` with `effects`.
[[nodiscard]] transition with(action_state state, std::vector<action_effect> effects);

/// Moves `state` to the final `phase` and answers all waiting submissions with `outcome`.
[[nodiscard]] transition settled(action_state state, action_phase phase, action_outcome outcome);

/// Returns `state` with `arrival` added to the waiting submissions.
[[nodiscard]] action_state with_waiter(action_state state, const submission& arrival);

/// Removes the waiting submissions whose deadline has passed at `at` and answers them with an
/// unknown outcome.
[[nodiscard]] transition without_expired(action_state state, core::instant at);

/// Starts the next connection attempt of `state`.
[[nodiscard]] transition connecting(action_state state);

} // namespace ej::actions
