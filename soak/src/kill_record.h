#pragma once

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::soak {

/// A time during which a daemon owes its callers no answer: from a kill to its end, or while it is
/// paused.
struct kill_record {
    std::size_t daemon = 0;
    core::instant at{};

    friend auto operator<=>(const kill_record&, const kill_record&) = default;
};

} // namespace ej::soak
