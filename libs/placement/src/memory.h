#pragma once

#include <placement/plan.h>
#include <placement/situation.h>

#include <cstdint>

namespace ej::placement {

/// Megabytes of a model; 0 when unknown.
[[nodiscard]] std::uint64_t megabytes_of(const model_id& name, const situation& seen);

/// Megabytes that `planned` leaves on `host`; 0 when it is more than full.
[[nodiscard]] std::uint64_t free_megabytes(const engine& host, const plan& planned,
                                           const situation& seen);

/// Engines' throughput asked of a model.
[[nodiscard]] double demand_for(const model_id& name, const situation& seen);

} // namespace ej::placement
