#pragma once

#include <core/number_hash.h>

namespace ej::core {

/// Rolling 64-bit hash of an answer's text up to an offset.
using digest = number<struct digest_tag>;

} // namespace ej::core
