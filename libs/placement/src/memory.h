#pragma once

#include <placement/placement_inputs.h>
#include <placement/plan.h>

#include <cstdint>

namespace ej::placement {

/// Megabytes of a model; 0 when unknown.
[[nodiscard]] std::uint64_t megabytes_of(const model_id& name, const placement_inputs& inputs);

/// Megabytes that `planned` leaves free on `host`; 0 when its models exceed the memory.
[[nodiscard]] std::uint64_t free_megabytes(const engine& host, const plan& planned,
                                           const placement_inputs& inputs);

/// Demand for a model, in engines; 0 when unknown.
[[nodiscard]] double demand_for(const model_id& name, const placement_inputs& inputs);

} // namespace ej::placement
