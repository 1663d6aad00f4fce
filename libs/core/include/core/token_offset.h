#pragma once

#include <core/number_hash.h>

namespace ej::core {

/// Position of a token in an answer, from 0.
using token_offset = number<struct token_offset_tag>;

} // namespace ej::core
