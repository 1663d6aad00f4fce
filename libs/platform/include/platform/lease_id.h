#pragma once

#include <core/id_hash.h>

namespace ej::platform {

/// Identifies a lease; keys written under it are removed when it expires.
using lease_id = core::id<struct lease_id_tag>;

} // namespace ej::platform
