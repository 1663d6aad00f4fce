#pragma once

#include <placement/order_strategy.h>
#include <placement/placement_strategy.h>

#include <core/instant.h>
#include <lease/held_lease.h>

#include <optional>
#include <vector>

namespace ej::placement {

/// Places models on the engines of a failure domain. Plans and sends orders only while this daemon
/// holds the lease; without a holder, engines keep the models that they have loaded. Not
/// thread-safe.
class controller {
public:
    /// Both strategies outlive the controller.
    controller(placement_strategy& planner, order_strategy& order_policy);

    /// Updates the plan from the engines' state as just read and returns the orders to send. An
    /// order may be sent only while `held_lease` is valid at the time of sending.
    std::vector<order> reconcile(const placement_inputs& inputs,
                                 const std::optional<lease::held_lease>& held_lease,
                                 core::instant now);

    /// The current plan; empty without a valid lease.
    [[nodiscard]] const plan& desired() const { return plan_; }

private:
    placement_strategy& planner_;
    order_strategy& order_policy_;
    core::fencing_number fencing_;
    plan plan_;
};

} // namespace ej::placement
