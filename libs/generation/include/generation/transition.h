#pragma once

#include <generation/cause.h>
#include <generation/effect.h>
#include <generation/state.h>

#include <compare>
#include <vector>

namespace ej::generation {

/// Result of one event: the state after it and the effects to perform, in order.
struct transition {
    generation::state state;
    std::vector<effect> effects;
    generation::cause dropped = generation::cause::none; ///< Why the event was ignored.

    friend auto operator<=>(const transition&, const transition&) = default;
};

} // namespace ej::generation
