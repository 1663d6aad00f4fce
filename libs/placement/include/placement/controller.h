#pragma once

#include <placement/order_strategy.h>
#include <placement/placement_strategy.h>

#include <core/instant.h>
#include <lease/tenure.h>

#include <optional>
#include <vector>

namespace ej::placement {

/// A failure domain's holder: plans and orders while its tenure holds, and does nothing without
/// one. Engines go on with what they have loaded meanwhile. Not thread-safe.
class controller {
public:
    /// Both strategies outlive the controller.
    controller(placement_strategy& placing, order_strategy& ordering);

    /// After a round of reading the engines: the orders to send. Each is sent only while
    /// `tenure->holds` the time of sending.
    std::vector<order> round(const situation& seen, const std::optional<lease::tenure>& tenure,
                             core::instant now);

    /// The plan in force; empty without a tenure.
    [[nodiscard]] const plan& wanted() const { return plan_; }

private:
    placement_strategy& placing_;
    order_strategy& ordering_;
    core::fencing_number fencing_;
    plan plan_;
};

} // namespace ej::placement
