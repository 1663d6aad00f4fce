#pragma once

#include <core/revision.h>

#include <compare>
#include <cstdint>

namespace ej::config {

/// Request the log as soon as the revision of its key exceeds `after`; 0: read it now.
struct watch_change_log {
    std::uint64_t watch_number = 0; ///< Number of the watch, to be returned with the answer.
    core::revision after;

    friend auto operator<=>(const watch_change_log&, const watch_change_log&) = default;
};

} // namespace ej::config
