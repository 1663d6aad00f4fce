#pragma once

#include <compare>
#include <cstdint>

namespace ej::generation {

/// Limits for one generation.
struct limits {
    std::uint32_t max_losses = 3;        ///< Fails at this many lost engines; at least 1.
    std::uint32_t max_restarts = 16;     ///< Fails at this many attempts given up; at least 1.
    std::uint32_t max_reattachments = 4; ///< Reattachments without a new token; at least 1.
    std::uint32_t max_silences = 12; ///< Silences of a live engine without a new token; at least 1.

    friend auto operator<=>(const limits&, const limits&) = default;
};

} // namespace ej::generation
