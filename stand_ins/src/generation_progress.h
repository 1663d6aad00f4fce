#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace ej::stand_ins {

/// How far a generation has come.
struct generation_progress {
    std::uint64_t offset = 0; ///< Tokens made, prefix included.
    std::string end_reason;   ///< Empty while it runs.

    [[nodiscard]] bool finished() const { return !end_reason.empty(); }

    friend auto operator<=>(const generation_progress&, const generation_progress&) = default;
};

} // namespace ej::stand_ins
