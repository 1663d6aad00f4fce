#include <placement/greedy_placement.h>

#include "memory.h"

#include <algorithm>
#include <cmath>

namespace ej::placement {

plan greedy_placement::next(const plan& /*before*/, const situation& seen, core::instant now)
{
    plan made;
    for (const auto& one : seen.models) {
        auto missing = static_cast<std::size_t>(std::ceil(demand_for(one.name, seen)));
        for (const auto& host : seen.engines) {
            if (missing > 0 && free_megabytes(host, made, seen) >= one.megabytes) {
                made.assignments.push_back({host.name, one.name, now});
                --missing;
            }
        }
    }
    std::ranges::sort(made.assignments);
    return made;
}

} // namespace ej::placement
