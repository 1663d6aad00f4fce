#pragma once

#include <core/id_hash.h>

namespace ej::core {

/// Names a VM.
using vm_id = id<struct vm_id_tag>;

} // namespace ej::core
