#pragma once

#include <core/number_hash.h>

namespace ej::membership {

/// Orders the observations of one endpoint's incarnations. Raised by direct contact with the
/// endpoint.
using generation = core::number<struct generation_tag>;

} // namespace ej::membership
