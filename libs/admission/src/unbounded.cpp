#include <admission/unbounded.h>

namespace ej::admission {

std::optional<refusal> unbounded::refuse(const fairness::claim&, const queue_state&,
                                         const capacity&, core::instant) const
{
    return std::nullopt;
}

bool unbounded::too_late(const fairness::claim&, const capacity&, core::instant) const
{
    return false;
}

} // namespace ej::admission
