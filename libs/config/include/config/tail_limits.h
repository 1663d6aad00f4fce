#pragma once

#include <compare>
#include <cstddef>

namespace ej::config {

/// Limits of the log of changes in the platform's service.
struct tail_limits {
    std::size_t compact_at = 24; ///< Changes at which the log is compacted; > `keep`.
    std::size_t keep = 12;       ///< Changes kept, to find one whose write had no answer.

    friend auto operator<=>(const tail_limits&, const tail_limits&) = default;
};

} // namespace ej::config
