#pragma once

#include <compare>
#include <cstdint>

namespace ej::actions {

/// Limits for one action.
struct action_limits {
    std::uint32_t max_attempts = 3; ///< Connection attempts for one action; at least 1.

    friend auto operator<=>(const action_limits&, const action_limits&) = default;
};

} // namespace ej::actions
