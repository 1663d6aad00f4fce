#pragma once

#include <actions/fingerprint_hash.h>

namespace ej::actions {

/// Digest of workspace and idempotency key: names one action in the fleet.
using action_id = fingerprint<struct action_id_tag>;

} // namespace ej::actions
