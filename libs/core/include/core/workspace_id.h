#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names a workspace: the tenant as which a caller is authenticated.
using workspace_id = id<struct workspace_id_tag>;

} // namespace ej::core
