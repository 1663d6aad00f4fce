#pragma once

#include <core/number_hash.h>

namespace ej::actions {

/// Identifies one submission that waits for an outcome; unique within a daemon.
using waiter_id = core::number<struct waiter_id_tag>;

} // namespace ej::actions
