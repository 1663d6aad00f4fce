#pragma once

#include <actions/action_effect.h>
#include <actions/action_state.h>

#include <compare>
#include <vector>

namespace ej::actions {

/// The state after an event and the effects to perform.
struct transition {
    action_state next;
    std::vector<action_effect> effects;

    friend auto operator<=>(const transition&, const transition&) = default;
};

} // namespace ej::actions
