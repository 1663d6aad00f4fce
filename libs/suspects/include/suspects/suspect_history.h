#pragma once

#include <suspects/death_id.h>
#include <suspects/death_kind.h>

#include <core/instant.h>

#include <compare>
#include <map>
#include <vector>

namespace ej::suspects {

/// Record of one suspected request at one daemon.
struct suspect_history {
    std::vector<death_id> deaths; ///< Sorted, without duplicates.
    /// Those of `deaths` that were restored: what ran beside the request is not known here.
    std::map<death_id, death_kind> restored;
    bool isolated = false;   ///< An isolated attempt is running at this daemon.
    core::instant expires{}; ///< When the record expires.

    friend auto operator<=>(const suspect_history&, const suspect_history&) = default;
};

} // namespace ej::suspects
