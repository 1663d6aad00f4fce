#pragma once

#include <core/revision.h>

#include <compare>
#include <cstdint>

namespace ej::config {

/// Ask for the log once its key's revision exceeds `after`; 0: read it now.
struct watch_tail {
    std::uint64_t ask = 0; ///< Number to hand back with the answer.
    core::revision after;

    friend auto operator<=>(const watch_tail&, const watch_tail&) = default;
};

} // namespace ej::config
