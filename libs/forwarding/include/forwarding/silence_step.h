#pragma once

#include <string_view>

namespace ej::forwarding {

/// The step after an engine with a stream has been silent for too long.
enum class silence_step {
    stay, ///< Wait for the engine.
    move  ///< Abandon the attempt and continue at another engine.
};

/// The name used in logs and metrics.
[[nodiscard]] constexpr std::string_view to_string(silence_step step)
{
    return step == silence_step::move ? "move" : "stay";
}

} // namespace ej::forwarding
