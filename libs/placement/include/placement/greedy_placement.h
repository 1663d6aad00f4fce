#pragma once

#include <placement/placement_strategy.h>

namespace ej::placement {

/// Plans anew for the demand of the moment each time; for comparison.
class greedy_placement final : public placement_strategy {
public:
    [[nodiscard]] plan next(const plan& before, const placement_inputs& inputs,
                            core::instant now) override;
};

} // namespace ej::placement
