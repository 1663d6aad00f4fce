#pragma once

#include <core/number_hash.h>

namespace ej::actions {

/// Number of a claim bucket; from 0 to `claim_limits::buckets` - 1.
using bucket_number = core::number<struct bucket_number_tag>;

} // namespace ej::actions
