#pragma once

#include <cstdint>
#include <ostream>

namespace ej::generation {

/// Steps of a simulated generation. `next_line` is 0 and is generated most often.
enum class simulation_step : std::uint8_t {
    next_line,
    repeated_line,
    skipped_line,
    overlapping_line,
    stale_line,
    early_end,
    late_end,
    aborted,
    closed,
    silent,
    open_at_wrong_offset,
    open_with_other_text,
    attempt_not_found,
    unreachable,
    rejected,
    caller_gone
};

inline constexpr int simulation_step_count = 16;

/// Prints a step of a failed simulation as its number.
// NOLINTNEXTLINE(readability-identifier-naming): rapidcheck calls it by this name.
inline void showValue(simulation_step step, std::ostream& out)
{
    out << static_cast<int>(step);
}

} // namespace ej::generation
