#pragma once

#include <compare>
#include <cstddef>

namespace ej::config {

/// Limits of the log of changes in the platform's service.
struct change_log_limits {
    std::size_t compact_at = 24; ///< Changes at which the log is compacted; > `keep`.
    std::size_t keep = 12;       ///< Changes kept, to find one whose write had no answer.

    friend auto operator<=>(const change_log_limits&, const change_log_limits&) = default;
};

} // namespace ej::config
