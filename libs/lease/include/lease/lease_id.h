#pragma once

#include <core/id_hash.h>

namespace ej::lease {

/// The platform's name of a lease.
using lease_id = core::id<struct lease_id_tag>;

} // namespace ej::lease
