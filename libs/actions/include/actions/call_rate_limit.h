#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::actions {

/// Spaces calls evenly, with a burst after a pause.
struct call_rate_limit {
    core::duration interval{};         ///< Between calls on average; > 0.
    std::uint32_t burst = 1;           ///< Calls that may go at once; from 1.
    core::instant burst_restored_at{}; ///< When the whole burst is to be had again.

    friend auto operator<=>(const call_rate_limit&, const call_rate_limit&) = default;
};

/// `limit` after one more call that is asked for at `now`.
[[nodiscard]] call_rate_limit with_call(const call_rate_limit& limit, core::instant now);

/// When the latest call of `limit` may go; in the past when at once.
[[nodiscard]] core::instant latest_call_time(const call_rate_limit& limit);

} // namespace ej::actions
