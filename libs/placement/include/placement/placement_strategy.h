#pragma once

#include <placement/placement_inputs.h>
#include <placement/plan.h>

#include <core/instant.h>

namespace ej::placement {

/// Decides which models each engine should have.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    placement_strategy(placement_strategy&&) = delete;
    placement_strategy& operator=(placement_strategy&&) = delete;
    virtual ~placement_strategy() = default;

    /// The plan that replaces `before`. An engine's models never exceed its memory.
    [[nodiscard]] virtual plan next(const plan& before, const placement_inputs& inputs,
                                    core::instant now) = 0;
};

} // namespace ej::placement
