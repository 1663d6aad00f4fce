#pragma once

#include <cstddef>

namespace ej::peer {

/// Why a connection between daemons ended.
enum class drop_reason {
    closed,          ///< The other end closed it, or it failed.
    idle,            ///< An end closed it because it was not in use.
    silent,          ///< Heartbeats were not answered.
    malformed,       ///< A frame could not be read.
    too_large,       ///< A frame exceeded the size limit.
    unauthenticated, ///< The handshake did not prove the fleet's secret.
    slow             ///< Its send buffer exceeded the size limit.
};

inline constexpr std::size_t drop_reason_count = 7;

/// The name used in messages and metrics.
[[nodiscard]] const char* to_string(drop_reason reason);

} // namespace ej::peer
