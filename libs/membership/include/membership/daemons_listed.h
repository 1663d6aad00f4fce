#pragma once

#include <membership/member_entry.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// The daemons in the platform's list, of all failure domains.
struct daemons_listed {
    std::vector<member_entry> daemons; ///< Boot and version are 0: any daemon's word is newer.

    friend auto operator<=>(const daemons_listed&, const daemons_listed&) = default;
};

} // namespace ej::membership
