#pragma once

#include <core/address.h>

#include <compare>
#include <set>

namespace ej::membership {

/// Connections to be kept open, in place of those kept so far.
struct keep_peers {
    std::set<core::address> peers;

    friend auto operator<=>(const keep_peers&, const keep_peers&) = default;
};

} // namespace ej::membership
