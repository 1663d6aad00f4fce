#pragma once

#include <core/address.h>

#include <compare>
#include <set>

namespace ej::membership {

/// Effect: the peers to keep connections open to; replaces the previous set.
struct keep_peers {
    std::set<core::address> peers;

    friend auto operator<=>(const keep_peers&, const keep_peers&) = default;
};

} // namespace ej::membership
