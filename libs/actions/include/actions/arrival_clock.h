#pragma once

#include <actions/wall_time.h>

#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::actions {

/// Gives a lower bound for the arrival time of a request that is read now. The bound also holds if
/// the daemon was paused while the request waited in the socket buffer.
struct arrival_clock {
    wall_time earlier;       ///< Time of day at the tick before the last one.
    wall_time latest;        ///< Time of day at the last tick.
    core::instant latest_at; ///< Monotonic time at the last tick.

    friend auto operator<=>(const arrival_clock&, const arrival_clock&) = default;
};

/// Minimum time between two ticks.
inline constexpr std::chrono::seconds tick_interval{5};

/// The clock of a daemon that starts at `now`.
[[nodiscard]] arrival_clock started(core::instant now, wall_time wall);

/// Returns `clock` after the timer of `tick_interval` has fired at `now`. The timer is armed again
/// only after it fired.
[[nodiscard]] arrival_clock after_tick(const arrival_clock& clock, core::instant now,
                                       wall_time wall);

/// Lower bound for the arrival time of every request that is read after the last tick.
[[nodiscard]] wall_time earliest_arrival(const arrival_clock& clock);

} // namespace ej::actions
