#pragma once

#include <compare>
#include <cstdint>

namespace ej::suspects {

/// How much each kind of death weighs against a request, and the sum at which it is refused.
struct suspicion_weights {
    std::uint32_t alone = 2;
    std::uint32_t shared = 1;
    std::uint32_t after_output = 1;
    std::uint32_t refuse = 5;

    friend auto operator<=>(const suspicion_weights&, const suspicion_weights&) = default;
};

} // namespace ej::suspects
