#include <actions/arrival_clock.h>

#include <algorithm>

namespace ej::actions {

arrival_clock started(core::instant now, wall_time wall)
{
    return {wall, wall, now};
}

arrival_clock after_tick(const arrival_clock& clock, core::instant now, wall_time wall)
{
    if (now < clock.latest_at + tick_interval) {
        return clock;
    }
    return {clock.latest, wall, now};
}

// After a pause one tick may fire before the sockets are read, so the last tick alone is no bound.
// Two cannot, because the first tick arms the second and all readable sockets are read in between.
wall_time earliest_arrival(const arrival_clock& clock)
{
    return std::min(clock.earlier, clock.latest);
}

} // namespace ej::actions
