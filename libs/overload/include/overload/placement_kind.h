#pragma once

#include <cstdint>
#include <string_view>

namespace ej::overload {

/// What happens to a generation that asks for a place.
enum class placement_kind : std::uint8_t {
    send,     ///< To the chosen engine, now.
    wait,     ///< At this daemon, until an engine has room.
    refuse,   ///< At once, with a time to come back.
    too_late, ///< Refused: it would outlast the daemon, which is leaving.
};

/// Name for logs and metrics.
[[nodiscard]] std::string_view to_string(placement_kind kind);

} // namespace ej::overload
