#pragma once

#include <placement/placement_inputs.h>
#include <placement/plan.h>

#include <cstdint>

namespace ej::placement {

/// Megabytes of a model; 0 when unknown.
[[nodiscard]] std::uint64_t megabytes_of(const model_id& name, const placement_inputs& inputs);

/// Megabytes that `planned` leaves on `host`; 0 when it is more than full.
[[nodiscard]] std::uint64_t free_megabytes(const engine& host, const plan& planned,
                                           const placement_inputs& inputs);

/// Engines' throughput asked of a model.
[[nodiscard]] double demand_for(const model_id& name, const placement_inputs& inputs);

} // namespace ej::placement
