#pragma once

#include <core/address.h>

#include <compare>

namespace ej::membership {

/// No connection to an address came about, or it was lost.
struct peer_unreachable {
    core::address where;

    friend auto operator<=>(const peer_unreachable&, const peer_unreachable&) = default;
};

} // namespace ej::membership
