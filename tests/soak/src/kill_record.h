#pragma once

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::soak {

/// The interval from a daemon's kill to its restart, in which it may lose calls.
struct kill_record {
    std::size_t daemon = 0;
    core::instant at{};
    core::instant until{};

    friend auto operator<=>(const kill_record&, const kill_record&) = default;
};

} // namespace ej::soak
