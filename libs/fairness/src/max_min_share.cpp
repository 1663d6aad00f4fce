#include <fairness/max_min_share.h>

namespace ej::fairness {

double max_min_share::rank(const flow_usage& usage, const queued_request&) const
{
    return usage.start_tag;
}

} // namespace ej::fairness
