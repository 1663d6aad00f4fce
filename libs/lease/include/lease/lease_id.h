#pragma once

#include <core/id_hash.h>

namespace ej::lease {

/// Names a lease; assigned by the platform.
using lease_id = core::id<struct lease_id_tag>;

} // namespace ej::lease
