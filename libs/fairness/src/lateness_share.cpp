#include <fairness/lateness_share.h>

namespace ej::fairness {

double lateness_share::rank(const flow_usage& usage, const claim&) const
{
    return -usage.lateness;
}

} // namespace ej::fairness
