#pragma once

#include <compare>
#include <cstdint>

namespace ej::admission {

/// What this daemon's endpoints can do for a service now.
struct capacity {
    double work_per_second = 0; ///< Tokens per second over all slots it may use; 0: not known.
    double slot_rate = 0;       ///< Tokens per second of one slot; 0: not known.
    std::uint32_t slots = 0;    ///< Slots that it may use; 0: no endpoint can take work.

    friend auto operator<=>(const capacity&, const capacity&) = default;
};

} // namespace ej::admission
