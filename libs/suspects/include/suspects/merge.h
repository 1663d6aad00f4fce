#pragma once

#include <suspects/death_record.h>

namespace ej::suspects {

/// Merges two records of the same death: `left.death` must equal `right.death`. Commutative,
/// associative and idempotent, so records may arrive repeatedly and in any order.
[[nodiscard]] death_record merge(const death_record& left, const death_record& right);

} // namespace ej::suspects
