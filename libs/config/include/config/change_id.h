#pragma once

#include <core/id_hash.h>

namespace ej::config {

/// Identifies one submitted change; unique in the fleet.
using change_id = core::id<struct change_id_tag>;

} // namespace ej::config
