#include <fairness/lateness_share.h>

namespace ej::fairness {

double lateness_share::rank(const flow_usage& usage, const queued_request&) const
{
    return -usage.lateness;
}

} // namespace ej::fairness
