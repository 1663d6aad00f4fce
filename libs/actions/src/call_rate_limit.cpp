#include <actions/call_rate_limit.h>

#include <algorithm>

namespace ej::actions {

call_rate_limit with_call(const call_rate_limit& limit, core::instant now)
{
    call_rate_limit next = limit;
    next.burst_restored_at = std::max(limit.burst_restored_at, now) + limit.interval;
    return next;
}

core::instant latest_call_time(const call_rate_limit& limit)
{
    return limit.burst_restored_at - limit.interval * limit.burst;
}

} // namespace ej::actions
