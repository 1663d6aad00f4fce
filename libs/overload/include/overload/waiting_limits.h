#pragma once

#include <compare>
#include <cstddef>

namespace ej::overload {

/// Bounds on the generations that wait at one lane of a daemon.
struct waiting_limits {
    std::size_t count = 512;
    std::size_t bytes = std::size_t{8} << 20U; ///< Of their requests.

    friend auto operator<=>(const waiting_limits&, const waiting_limits&) = default;
};

} // namespace ej::overload
