#pragma once

#include <suspects/death_id.h>

#include <core/instant.h>

#include <compare>
#include <vector>

namespace ej::suspects {

/// What a daemon keeps of one suspect.
struct suspect_history {
    std::vector<death_id> deaths; ///< In order, without repeats.
    bool isolated = false;        ///< An isolated attempt runs at this daemon.
    core::instant expires{};      ///< When the suspicion is dropped.

    friend auto operator<=>(const suspect_history&, const suspect_history&) = default;
};

} // namespace ej::suspects
