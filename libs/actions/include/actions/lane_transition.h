#pragma once

#include <actions/claim_lane.h>
#include <actions/lane_effect.h>

#include <compare>
#include <vector>

namespace ej::actions {

/// The lane that follows an event, and what to carry out.
struct lane_transition {
    claim_lane next;
    std::vector<lane_effect> effects;

    friend auto operator<=>(const lane_transition&, const lane_transition&) = default;
};

} // namespace ej::actions
