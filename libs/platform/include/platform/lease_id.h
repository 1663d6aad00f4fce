#pragma once

#include <core/id_hash.h>

namespace ej::platform {

/// Names a lease; keys written under it go when it lapses.
using lease_id = core::id<struct lease_id_tag>;

} // namespace ej::platform
