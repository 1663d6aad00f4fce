#pragma once

#include <config/stored_change_log.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace ej::config {

/// The platform's answer to a `watch_change_log`.
struct watch_answered {
    std::uint64_t watch_number = 0;
    std::optional<stored_change_log> stored; ///< None: unchanged.

    friend auto operator<=>(const watch_answered&, const watch_answered&) = default;
};

} // namespace ej::config
