#pragma once

#include <suspects/death_record.h>

namespace ej::suspects {

/// What two daemons know of one death. Commutative, associative and idempotent, so that records
/// may arrive repeated and in any order. `left.death` equals `right.death`.
[[nodiscard]] death_record merge(const death_record& left, const death_record& right);

} // namespace ej::suspects
