#pragma once

#include <compare>
#include <cstdint>

namespace ej::suspects {

/// Numbers of endpoint deaths while a request was running that has not finished since.
struct evidence {
    std::uint32_t shared_deaths = 0;       ///< Deaths while other requests ran there too.
    std::uint32_t solo_deaths = 0;         ///< Deaths while no other request ran there.
    std::uint32_t deaths_after_output = 0; ///< Deaths after its output, not alone.

    friend auto operator<=>(const evidence&, const evidence&) = default;
};

} // namespace ej::suspects
