#pragma once

#include <core/number_hash.h>

namespace ej::membership {

/// Orders a daemon's entries within one run. Only the daemon itself raises it.
using member_version = core::number<struct member_version_tag>;

} // namespace ej::membership
