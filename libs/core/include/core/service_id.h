#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names what an endpoint serves: a model, or an application.
using service_id = id<struct service_id_tag>;

} // namespace ej::core
