#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ej::stand_ins {

/// Progress of a generation.
struct generation_progress {
    std::uint64_t offset = 0; ///< Number of tokens available, prefix included.
    std::string end_reason;   ///< Empty while the generation runs.

    [[nodiscard]] bool finished() const { return !end_reason.empty(); }

    friend auto operator<=>(const generation_progress&, const generation_progress&) = default;
};

} // namespace ej::stand_ins
