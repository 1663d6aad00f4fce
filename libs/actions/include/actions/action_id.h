#pragma once

#include <actions/fingerprint_hash.h>

namespace ej::actions {

/// Digest of workspace and idempotency key. Identifies one action in the whole fleet.
using action_id = fingerprint<struct action_id_tag>;

} // namespace ej::actions
