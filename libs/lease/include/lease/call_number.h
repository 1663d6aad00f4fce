#pragma once

#include <core/number_hash.h>

namespace ej::lease {

/// Matches an answer to its call.
using call_number = core::number<struct call_number_tag>;

} // namespace ej::lease
