#pragma once

#include <compare>
#include <cstddef>

namespace ej::config {

/// Bounds of the log of changes in the platform's service.
struct tail_limits {
    std::size_t compact_at = 24; ///< Changes from which it is cut; > `keep`.
    std::size_t keep = 12;       ///< Changes that stay; covers reading back a lost answer.

    friend auto operator<=>(const tail_limits&, const tail_limits&) = default;
};

} // namespace ej::config
