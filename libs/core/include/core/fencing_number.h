#pragma once

#include <core/number_hash.h>

namespace ej::core {

/// Orders the holders of a lease; a higher one supersedes all lower ones.
using fencing_number = number<struct fencing_number_tag>;

} // namespace ej::core
