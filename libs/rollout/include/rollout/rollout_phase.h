#pragma once

#include <optional>
#include <string_view>

namespace ej::rollout {

/// How far a roll-out has come.
enum class rollout_phase {
    trial,      ///< A bounded share of the requests goes to the target version.
    ramp,       ///< The share grows.
    handover,   ///< All requests go to the target; runs at other versions come to their end.
    succeeded,  ///< Endpoints of other versions get nothing and may be stopped.
    rolled_back ///< Endpoints of the target version get nothing.
};

/// The name in records, logs and metrics.
[[nodiscard]] std::string_view to_string(rollout_phase phase);

/// The phase with that name; empty for any other text.
[[nodiscard]] std::optional<rollout_phase> parse_phase(std::string_view name);

/// True if no further phase follows.
[[nodiscard]] constexpr bool is_final(rollout_phase phase)
{
    return phase == rollout_phase::succeeded || phase == rollout_phase::rolled_back;
}

} // namespace ej::rollout
