#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names a workspace: the tenant that a caller is authenticated as.
using workspace_id = id<struct workspace_id_tag>;

} // namespace ej::core
