#pragma once

#include "stored_suspect.h"

#include <suspects/request_digest.h>

#include <unordered_map>

namespace ej::front {

/// The entries of the store for requests that crash endpoints, as last read or written.
using stored_suspects = std::unordered_map<suspects::request_digest, stored_suspect>;

} // namespace ej::front
