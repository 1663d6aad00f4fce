#pragma once

#include <actions/wall_time.h>

#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::actions {

/// Bounds from below when a request that is read now can have arrived, also when the daemon was
/// paused meanwhile and the request lay in its socket's buffer.
struct arrival_clock {
    wall_time earlier;       ///< At the last tick but one.
    wall_time latest;        ///< At the last tick.
    core::instant latest_at; ///< The same on the monotonic clock.

    friend auto operator<=>(const arrival_clock&, const arrival_clock&) = default;
};

/// The least time between two ticks.
inline constexpr std::chrono::seconds tick_interval{5};

/// The clock of a daemon that starts now.
[[nodiscard]] arrival_clock started(core::instant now, wall_time wall);

/// `clock` after a timer of `tick_interval`, armed anew each time, has fired at `now`.
[[nodiscard]] arrival_clock ticked(const arrival_clock& clock, core::instant now, wall_time wall);

/// No request that is read after the last tick arrived before this.
[[nodiscard]] wall_time earliest_arrival(const arrival_clock& clock);

} // namespace ej::actions
