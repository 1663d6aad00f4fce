#pragma once

#include "stored_hold.h"

#include <suspects/part_digest.h>

#include <unordered_map>

namespace ej::front {

/// The entries of the store for parts that are held back, as last read or written.
using stored_holds = std::unordered_map<suspects::part_digest, stored_hold>;

} // namespace ej::front
