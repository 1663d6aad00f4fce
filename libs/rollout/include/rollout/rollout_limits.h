#pragma once

#include <compare>

namespace ej::rollout {

/// What a version may get before it is known to be good.
struct rollout_limits {
    double share = 0.1;   ///< Of the service's requests within the order's time; from 0 to 1.
    double requests = 50; ///< On top of the share; >= 0.

    friend auto operator<=>(const rollout_limits&, const rollout_limits&) = default;
};

} // namespace ej::rollout
