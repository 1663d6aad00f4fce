#pragma once

#include <overload/generation_demand.h>
#include <overload/placement_step.h>
#include <overload/placement_view.h>

#include <core/instant.h>

namespace ej::overload {

/// `step`, or `too_late` if a generation that no engine has begun would not be complete at `end`.
[[nodiscard]] placement_step step_before(core::instant end, const placement_step& step,
                                         const generation_demand& demand,
                                         const placement_view& view);

} // namespace ej::overload
