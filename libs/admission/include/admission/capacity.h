#pragma once

#include <compare>
#include <cstdint>

namespace ej::admission {

/// Current capacity of this daemon's endpoints for one service.
struct capacity {
    double work_per_second = 0; ///< Tokens per second over all usable slots; 0: not known.
    double slot_rate = 0;       ///< Tokens per second of one slot; 0: not known.
    std::uint32_t slots = 0;    ///< Usable slots; 0: no endpoint can take work.

    friend auto operator<=>(const capacity&, const capacity&) = default;
};

} // namespace ej::admission
