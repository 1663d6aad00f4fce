#pragma once

#include <actions/claim_verdict.h>
#include <actions/lane_transition.h>

#include <vector>

/// Steps that several lane rules share.
namespace ej::actions {

/// The effect that reports `verdict`.
[[nodiscard]] lane_effect settle(claim_verdict verdict);

/// `lane` waiting for its next turn, or idle when no claim waits.
[[nodiscard]] lane_transition next_turn(claim_lane lane, std::vector<lane_effect> effects);

/// `lane` with the claims under way among those that wait, and no trust in what it knew.
[[nodiscard]] claim_lane recalled(claim_lane lane);

/// `lane` with every claim given up.
[[nodiscard]] lane_transition given_up(claim_lane lane);

} // namespace ej::actions
