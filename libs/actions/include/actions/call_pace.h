#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::actions {

/// Spaces calls evenly, with a burst after a pause.
struct call_pace {
    core::duration interval{};  ///< Between calls on average; > 0.
    std::uint32_t burst = 1;    ///< Calls that may go at once; from 1.
    core::instant fully_idle{}; ///< When the whole burst is to be had again.

    friend auto operator<=>(const call_pace&, const call_pace&) = default;
};

/// `pace` after one more call that is asked for at `now`.
[[nodiscard]] call_pace with_call(const call_pace& pace, core::instant now);

/// When the latest call of `pace` may go; in the past when at once.
[[nodiscard]] core::instant latest_call(const call_pace& pace);

} // namespace ej::actions
