#pragma once

#include <core/number_hash.h>

namespace ej::actions {

/// Distinguishes the claims of one daemon incarnation. Starts at 1; 0 means none.
using claim_nonce = core::number<struct claim_nonce_tag>;

} // namespace ej::actions
