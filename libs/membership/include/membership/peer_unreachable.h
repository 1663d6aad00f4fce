#pragma once

#include <core/address.h>

#include <compare>

namespace ej::membership {

/// Event: a connection to an address could not be opened, or was lost.
struct peer_unreachable {
    core::address where;

    friend auto operator<=>(const peer_unreachable&, const peer_unreachable&) = default;
};

} // namespace ej::membership
