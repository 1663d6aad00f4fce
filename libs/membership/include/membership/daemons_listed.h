#pragma once

#include <membership/member_entry.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// Event: the platform's list was read. Holds the daemons of all failure domains.
struct daemons_listed {
    std::vector<member_entry>
        daemons; ///< Boot and version are 0, so that a daemon's own entry is newer.

    friend auto operator<=>(const daemons_listed&, const daemons_listed&) = default;
};

} // namespace ej::membership
