#pragma once

#include <core/number_hash.h>

namespace ej::suspects {

/// Identifies a part of a prompt, whichever request, caller or workspace it comes from.
using part_digest = core::number<struct part_digest_tag>;

} // namespace ej::suspects
