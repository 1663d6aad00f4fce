#pragma once

#include <compare>

namespace ej::limits {

/// One daemon's share of every endpoint: the interval [before, before + fraction) of [0, 1).
struct daemon_share {
    double before = 0.0;   ///< Sum of the shares of the daemons sorted before this one; 0 to 1.
    double fraction = 1.0; ///< This daemon's share; 0 to 1.

    friend auto operator<=>(const daemon_share&, const daemon_share&) = default;
};

} // namespace ej::limits
