#pragma once

#include <membership/delta.h>

#include <core/address.h>

#include <compare>

namespace ej::membership {

/// Effect: send a delta to a peer.
struct send_delta {
    core::address to;
    delta body;

    friend auto operator<=>(const send_delta&, const send_delta&) = default;
};

} // namespace ej::membership
