#pragma once

#include <core/number_hash.h>

namespace ej::membership {

/// Orders the runs of one daemon; a restart raises it.
using boot_number = core::number<struct boot_number_tag>;

} // namespace ej::membership
