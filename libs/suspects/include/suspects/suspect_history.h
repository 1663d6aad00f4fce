#pragma once

#include <suspects/death_id.h>

#include <core/instant.h>

#include <compare>
#include <vector>

namespace ej::suspects {

/// Record of one suspected request at one daemon.
struct suspect_history {
    std::vector<death_id> deaths; ///< Sorted, without duplicates.
    bool isolated = false;        ///< An isolated attempt is running at this daemon.
    core::instant expires{};      ///< When the record expires.

    friend auto operator<=>(const suspect_history&, const suspect_history&) = default;
};

} // namespace ej::suspects
