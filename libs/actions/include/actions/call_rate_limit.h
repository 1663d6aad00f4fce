#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::actions {

/// Rate limit that spaces calls evenly and allows a burst after an idle period.
struct call_rate_limit {
    core::duration interval{};         ///< Average time between calls; > 0.
    std::uint32_t burst = 1;           ///< Calls allowed without delay; at least 1.
    core::instant burst_restored_at{}; ///< When the full burst is available again.

    friend auto operator<=>(const call_rate_limit&, const call_rate_limit&) = default;
};

/// Returns `limit` after one more call is requested at `now`.
[[nodiscard]] call_rate_limit with_call(const call_rate_limit& limit, core::instant now);

/// Earliest time for the latest requested call. A time in the past means that the call needs no
/// delay.
[[nodiscard]] core::instant latest_call_time(const call_rate_limit& limit);

} // namespace ej::actions
