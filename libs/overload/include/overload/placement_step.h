#pragma once

#include <overload/placement_kind.h>

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::overload {

/// The decision on a generation that asks for a place.
struct placement_step {
    placement_kind kind = placement_kind::wait;
    std::size_t engine = 0;        ///< Index of the chosen engine, for `send`.
    core::duration first_output{}; ///< Forecast; 0: unknown.
    core::duration come_back{};    ///< For `refuse`: when there will be room.

    friend auto operator<=>(const placement_step&, const placement_step&) = default;
};

} // namespace ej::overload
