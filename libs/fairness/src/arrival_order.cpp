#include <fairness/arrival_order.h>

#include <chrono>

namespace ej::fairness {

double arrival_order::rank(const flow_usage&, const queued_request& head) const
{
    return std::chrono::duration<double>(head.arrived.time_since_epoch()).count();
}

} // namespace ej::fairness
