#include <actions/call_pace.h>

#include <algorithm>

namespace ej::actions {

call_pace with_call(const call_pace& pace, core::instant now)
{
    call_pace next = pace;
    next.fully_idle = std::max(pace.fully_idle, now) + pace.interval;
    return next;
}

core::instant latest_call(const call_pace& pace)
{
    return pace.fully_idle - pace.interval * pace.burst;
}

} // namespace ej::actions
