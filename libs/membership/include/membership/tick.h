#pragma once

#include <compare>

namespace ej::membership {

/// Event: time has passed.
struct tick {
    friend auto operator<=>(const tick&, const tick&) = default;
};

} // namespace ej::membership
