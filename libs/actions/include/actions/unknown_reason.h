#pragma once

#include <array>
#include <string_view>

namespace ej::actions {

/// Why a daemon cannot determine whether an action ran.
enum class unknown_reason {
    connection_lost,      ///< Bytes may have reached the application; no answer came.
    timed_out,            ///< The submission's deadline passed while the action was open.
    owner_unreachable,    ///< The owning daemon could not be reached.
    owner_gone,           ///< The owning incarnation has ended.
    platform_unavailable, ///< The claim could not be written or confirmed by a read.
    draining,      ///< The daemon accepts no new claims; another daemon may have run the action.
    record_expired ///< The key is older than the retained records.
};

inline constexpr std::size_t unknown_reason_count = 7;

/// Every reason, in order.
[[nodiscard]] const std::array<unknown_reason, unknown_reason_count>& all_unknown_reasons();

/// The name used in messages and metrics.
[[nodiscard]] std::string_view to_string(unknown_reason reason);

} // namespace ej::actions
