#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace ej::generation {

/// Why an effect was decided. Metrics count effects by its name.
enum class cause {
    none,
    connection_lost,
    silence,
    engine_unreachable,
    engine_forgot,
    engine_rejected,
    engine_aborted,
    wrong_offset,
    other_text,
    gap,
    stale_attempt,
    repeated_tokens,
    no_endpoint,
    no_progress,
    too_many_losses,
    caller_gone
};

inline constexpr std::size_t cause_count = 16;

/// The name used in messages and metrics.
[[nodiscard]] std::string_view to_string(cause value);

} // namespace ej::generation
