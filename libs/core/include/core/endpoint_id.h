#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names an endpoint: a model engine or a plain service that runs work.
using endpoint_id = id<struct endpoint_id_tag>;

} // namespace ej::core
