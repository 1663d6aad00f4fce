#pragma once

#include <membership/digest_table.h>

#include <core/vm_id.h>

#include <compare>

namespace ej::membership {

/// Event: a digest arrived from a peer.
struct digest_received {
    core::vm_id from;
    digest_table table;

    friend auto operator<=>(const digest_received&, const digest_received&) = default;
};

} // namespace ej::membership
