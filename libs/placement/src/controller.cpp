#include <placement/controller.h>

namespace ej::placement {

controller::controller(placement_strategy& placing, order_strategy& ordering)
    : placing_(placing), ordering_(ordering)
{
}

std::vector<order> controller::round(const situation& seen,
                                     const std::optional<lease::tenure>& tenure, core::instant now)
{
    if (!tenure || !tenure->holds(now)) {
        plan_ = {};
        return {};
    }
    // Another daemon may have held the lease in between: its plan is in the engines.
    if (tenure->fencing != fencing_) {
        fencing_ = tenure->fencing;
        plan_ = {};
    }
    plan_ = placing_.next(plan_, seen, now);
    return ordering_.orders(plan_, seen.engines, fencing_);
}

} // namespace ej::placement
