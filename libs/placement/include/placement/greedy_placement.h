#pragma once

#include <placement/placement_strategy.h>

namespace ej::placement {

/// Makes a new plan from the current demand each time, without regard to the previous one. For
/// comparison.
class greedy_placement final : public placement_strategy {
public:
    [[nodiscard]] plan next(const plan& before, const placement_inputs& inputs,
                            core::instant now) override;
};

} // namespace ej::placement
