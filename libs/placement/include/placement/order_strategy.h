#pragma once

#include <placement/engine.h>
#include <placement/order.h>
#include <placement/plan.h>

#include <core/fencing_number.h>

#include <vector>

namespace ej::placement {

/// Decides which orders are sent after the engines' state was read.
class order_strategy {
public:
    order_strategy() = default;
    order_strategy(const order_strategy&) = delete;
    order_strategy& operator=(const order_strategy&) = delete;
    order_strategy(order_strategy&&) = delete;
    order_strategy& operator=(order_strategy&&) = delete;
    virtual ~order_strategy() = default;

    [[nodiscard]] virtual std::vector<order> orders(const plan& desired,
                                                    const std::vector<engine>& observed,
                                                    core::fencing_number fencing) = 0;
};

} // namespace ej::placement
