#pragma once

#include <actions/fingerprint_hash.h>

namespace ej::actions {

/// Digest of class and body. Distinguishes a repeat from a different request under the same key.
using request_digest = fingerprint<struct request_digest_tag>;

} // namespace ej::actions
