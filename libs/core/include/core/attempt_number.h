#pragma once

#include <core/number_hash.h>

namespace ej::core {

/// Counts the attempts of one request from 1; a higher one supersedes all lower ones.
using attempt_number = number<struct attempt_number_tag>;

} // namespace ej::core
