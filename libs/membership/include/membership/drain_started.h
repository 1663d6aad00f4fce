#pragma once

#include <compare>

namespace ej::membership {

/// Event: this daemon accepts no new work from now on.
struct drain_started {
    friend auto operator<=>(const drain_started&, const drain_started&) = default;
};

} // namespace ej::membership
