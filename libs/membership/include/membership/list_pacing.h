#pragma once

#include <core/instant.h>

#include <cstddef>

namespace ej::membership {

/// Time from one request for the platform's list to the next, so that lists of `list_bytes` stay
/// within a daemon's share of traffic for control.
[[nodiscard]] core::duration list_interval(std::size_t list_bytes);

} // namespace ej::membership
