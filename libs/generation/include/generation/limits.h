#pragma once

#include <compare>
#include <cstdint>

namespace ej::generation {

/// Bounds of one generation.
struct limits {
    std::uint32_t max_losses = 3;    ///< Engines that may be lost while they run it; from 1.
    std::uint32_t max_restarts = 16; ///< Attempts that may be given up for any reason; from 1.
    std::uint32_t max_reattachments =
        4;                           ///< Re-attachments that may follow without a token; from 1.
    std::uint32_t max_silences = 12; ///< Silences of a live engine without a token; from 1.

    friend auto operator<=>(const limits&, const limits&) = default;
};

} // namespace ej::generation
