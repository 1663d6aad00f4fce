#pragma once

#include <suspects/known_part_death.h>
#include <suspects/part_hold.h>

#include <core/instant.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace ej::suspects {

/// Record of one part at one daemon.
struct part_history {
    std::vector<death_id> unanswered;         ///< Deaths since the latest output; sorted.
    std::uint32_t total = 0;                  ///< All deaths, also those before an output.
    std::optional<core::instant> last_output; ///< Unset: none is remembered.
    std::optional<core::instant> last_death;  ///< Of deaths or trials.
    std::optional<part_hold> hold;
    core::instant used{}; ///< When the record was last of use; the oldest are evicted.

    friend auto operator<=>(const part_history&, const part_history&) = default;
};

} // namespace ej::suspects
