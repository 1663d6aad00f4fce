#pragma once

#include <compare>

namespace ej::config {

/// The time returned by `next_wake` was reached.
struct tick {
    friend auto operator<=>(const tick&, const tick&) = default;
};

} // namespace ej::config
