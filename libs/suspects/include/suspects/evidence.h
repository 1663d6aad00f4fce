#pragma once

#include <compare>
#include <cstdint>

namespace ej::suspects {

/// Deaths of endpoints that ran a request which has not finished since.
struct evidence {
    std::uint32_t shared_deaths = 0; ///< Other requests ran there too.
    std::uint32_t solo_deaths = 0;   ///< No other request ran there.

    friend auto operator<=>(const evidence&, const evidence&) = default;
};

} // namespace ej::suspects
