#include <placement/controller.h>

namespace ej::placement {

controller::controller(placement_strategy& planner, order_strategy& order_policy)
    : planner_(planner), order_policy_(order_policy)
{
}

std::vector<order> controller::reconcile(const placement_inputs& inputs,
                                         const std::optional<lease::held_lease>& held_lease,
                                         core::instant now)
{
    if (!held_lease || !held_lease->valid_at(now)) {
        plan_ = {};
        return {};
    }
    // Another daemon may have held the lease in between and changed the engines, so the old plan is
    // discarded.
    if (held_lease->fencing != fencing_) {
        fencing_ = held_lease->fencing;
        plan_ = {};
    }
    plan_ = planner_.next(plan_, inputs, now);
    return order_policy_.orders(plan_, inputs.engines, fencing_);
}

} // namespace ej::placement
