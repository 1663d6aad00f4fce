#pragma once

#include <placement/order_strategy.h>
#include <placement/placement_strategy.h>

#include <core/instant.h>
#include <lease/held_lease.h>

#include <optional>
#include <vector>

namespace ej::placement {

/// A failure domain's holder: plans and orders while its tenure holds, and does nothing without
/// one. Engines go on with what they have loaded meanwhile. Not thread-safe.
class controller {
public:
    /// Both strategies outlive the controller.
    controller(placement_strategy& planner, order_strategy& order_policy);

    /// After a round of reading the engines: the orders to send. Each is sent only while
    /// `held_lease->holds` the time of sending.
    std::vector<order> reconcile(const placement_inputs& inputs,
                                 const std::optional<lease::held_lease>& held_lease,
                                 core::instant now);

    /// The plan in force; empty without a tenure.
    [[nodiscard]] const plan& desired() const { return plan_; }

private:
    placement_strategy& planner_;
    order_strategy& order_policy_;
    core::fencing_number fencing_;
    plan plan_;
};

} // namespace ej::placement
