#pragma once

#include <core/instant.h>

#include <cstddef>

namespace ej::membership {

/// Interval between two requests for the platform's list, so that lists of `list_bytes` stay within
/// a daemon's budget of control traffic.
[[nodiscard]] core::duration list_interval(std::size_t list_bytes);

} // namespace ej::membership
