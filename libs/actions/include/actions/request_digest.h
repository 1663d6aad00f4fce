#pragma once

#include <actions/fingerprint_hash.h>

namespace ej::actions {

/// Digest of class and body: tells a repeat from another request under the same key.
using request_digest = fingerprint<struct request_digest_tag>;

} // namespace ej::actions
