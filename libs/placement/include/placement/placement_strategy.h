#pragma once

#include <placement/placement_inputs.h>
#include <placement/plan.h>

#include <core/instant.h>

namespace ej::placement {

/// Decides which engine has which models.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    placement_strategy(placement_strategy&&) = delete;
    placement_strategy& operator=(placement_strategy&&) = delete;
    virtual ~placement_strategy() = default;

    /// The plan that follows `before`. Never more on an engine than its memory holds.
    [[nodiscard]] virtual plan next(const plan& before, const placement_inputs& inputs,
                                    core::instant now) = 0;
};

} // namespace ej::placement
