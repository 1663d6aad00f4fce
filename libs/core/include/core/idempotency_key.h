#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// The caller's key for one request; two requests with equal keys of one workspace are the same.
using idempotency_key = id<struct idempotency_key_tag>;

} // namespace ej::core
