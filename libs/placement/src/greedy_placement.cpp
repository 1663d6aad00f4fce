#include <placement/greedy_placement.h>

#include "memory.h"

#include <algorithm>
#include <cmath>

namespace ej::placement {

plan greedy_placement::next(const plan& /*before*/, const placement_inputs& inputs,
                            core::instant now)
{
    plan result;
    for (const auto& one : inputs.models) {
        auto missing = static_cast<std::size_t>(std::ceil(demand_for(one.name, inputs)));
        for (const auto& host : inputs.engines) {
            if (missing > 0 && free_megabytes(host, result, inputs) >= one.megabytes) {
                result.assignments.push_back({host.name, one.name, now});
                --missing;
            }
        }
    }
    std::ranges::sort(result.assignments);
    return result;
}

} // namespace ej::placement
