#pragma once

#include <membership/digest_table.h>

#include <core/address.h>

#include <compare>

namespace ej::membership {

/// Effect: send a digest to a peer.
struct send_digest {
    core::address to;
    digest_table table;

    friend auto operator<=>(const send_digest&, const send_digest&) = default;
};

} // namespace ej::membership
