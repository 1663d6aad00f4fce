#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names one run of a process; a restarted process has another.
using incarnation_id = id<struct incarnation_id_tag>;

} // namespace ej::core
