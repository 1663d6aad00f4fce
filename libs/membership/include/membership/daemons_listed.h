#pragma once

#include <membership/member_entry.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// Event: the platform's list was read. Holds the daemons of all failure domains.
struct daemons_listed {
    /// Boot and version are 0, so that any entry from a daemon itself is newer.
    std::vector<member_entry> daemons;

    friend auto operator<=>(const daemons_listed&, const daemons_listed&) = default;
};

} // namespace ej::membership
