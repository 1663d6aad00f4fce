#include <actions/arrival_clock.h>

#include <algorithm>

namespace ej::actions {

arrival_clock started(core::instant now, wall_time wall)
{
    return {wall, wall, now};
}

arrival_clock ticked(const arrival_clock& clock, core::instant now, wall_time wall)
{
    if (now < clock.latest_at + tick_interval) {
        return clock;
    }
    return {clock.latest, wall, now};
}

// After a pause one tick may come before the sockets are read; two cannot, as the second is armed
// by the first and everything readable is read in between.
wall_time earliest_arrival(const arrival_clock& clock)
{
    return std::min(clock.earlier, clock.latest);
}

} // namespace ej::actions
