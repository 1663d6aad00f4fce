#pragma once

#include <membership/delta.h>

#include <core/vm_id.h>

#include <compare>

namespace ej::membership {

/// Event: a delta arrived from a peer.
struct delta_received {
    core::vm_id from;
    delta body;

    friend auto operator<=>(const delta_received&, const delta_received&) = default;
};

} // namespace ej::membership
