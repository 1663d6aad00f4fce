#include <admission/unbounded.h>

namespace ej::admission {

std::optional<refusal> unbounded::refuse(const fairness::queued_request&, const queue_state&,
                                         const capacity&, core::instant) const
{
    return std::nullopt;
}

bool unbounded::too_late(const fairness::queued_request&, const capacity&, core::instant) const
{
    return false;
}

} // namespace ej::admission
