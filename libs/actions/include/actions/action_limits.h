#pragma once

#include <compare>
#include <cstdint>

namespace ej::actions {

/// Bounds of one action's effort.
struct action_limits {
    std::uint32_t max_attempts = 3; ///< Connections tried for one action; from 1.

    friend auto operator<=>(const action_limits&, const action_limits&) = default;
};

} // namespace ej::actions
