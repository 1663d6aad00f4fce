#pragma once

#include <core/instant.h>

#include <chrono>

namespace ej::front {

/// The longest lease of the store: the entries of `kept_entries` end with it.
inline constexpr std::chrono::milliseconds entry_lease{std::chrono::minutes(10)};

/// True if an entry that was read or written at `seen` is to be written again.
[[nodiscard]] inline bool is_lease_half_over(core::instant seen, core::instant now)
{
    return seen + entry_lease / 2 < now;
}

} // namespace ej::front
