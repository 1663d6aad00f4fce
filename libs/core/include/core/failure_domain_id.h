#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names a failure domain: VMs that are lost or cut off together.
using failure_domain_id = id<struct failure_domain_id_tag>;

} // namespace ej::core
