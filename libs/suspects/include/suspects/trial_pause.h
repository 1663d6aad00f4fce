#pragma once

#include <core/instant.h>

#include <cstdint>

namespace ej::suspects {

/// Number of requests that are let through in one hold.
inline constexpr std::uint32_t max_trials = 3;

/// Time from the start of a hold, or from its latest trial, to the next trial, after `trials`
/// trials. Grows tenfold with each.
[[nodiscard]] core::duration trial_pause(std::uint32_t trials);

} // namespace ej::suspects
