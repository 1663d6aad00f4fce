#pragma once

#include <core/number_hash.h>

namespace ej::core {

/// Orders accepted configurations; never decreases.
using revision = number<struct revision_tag>;

} // namespace ej::core
