#pragma once

#include <compare>

namespace ej::config {

/// The time that `next_wake` named has come.
struct tick {
    friend auto operator<=>(const tick&, const tick&) = default;
};

} // namespace ej::config
