#pragma once

#include <core/id_hash.h>

namespace ej::placement {

/// Names a model whose weights an engine can load.
using model_id = core::id<struct model_id_tag>;

} // namespace ej::placement
