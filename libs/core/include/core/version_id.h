#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names the version of an endpoint's software.
using version_id = id<struct version_id_tag>;

} // namespace ej::core
