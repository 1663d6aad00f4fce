#pragma once

#include <suspects/aged_death.h>

#include <compare>
#include <vector>

namespace ej::suspects {

/// Deaths that count against requests, as one daemon tells them to another.
struct evidence_report {
    bool informed = false; ///< The sender does not itself ask others for evidence.
    std::vector<aged_death> deaths;

    friend auto operator<=>(const evidence_report&, const evidence_report&) = default;
};

} // namespace ej::suspects
