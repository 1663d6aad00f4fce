#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names one request of one workspace; unique in the fleet.
using request_id = id<struct request_id_tag>;

} // namespace ej::core
