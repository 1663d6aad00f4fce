#pragma once

#include <compare>
#include <cstdint>

namespace ej::config {

/// A `watch_change_log` was rejected or timed out.
struct watch_failed {
    std::uint64_t watch_number = 0;

    friend auto operator<=>(const watch_failed&, const watch_failed&) = default;
};

} // namespace ej::config
