#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names a class of work, for which operators set a target.
using class_id = id<struct class_id_tag>;

} // namespace ej::core
