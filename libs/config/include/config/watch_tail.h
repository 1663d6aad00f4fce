#pragma once

#include <core/revision.h>

#include <compare>
#include <cstdint>

namespace ej::config {

/// Request the log as soon as the revision of its key exceeds `after`; 0: read it now.
struct watch_tail {
    std::uint64_t ask = 0; ///< Number of the watch, to be returned with the answer.
    core::revision after;

    friend auto operator<=>(const watch_tail&, const watch_tail&) = default;
};

} // namespace ej::config
