#pragma once

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// Size of a generation in tokens; zeros for a plain call.
struct call_size {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; ///< Upper bound.

    friend auto operator<=>(const call_size&, const call_size&) = default;
};

} // namespace ej::forwarding
