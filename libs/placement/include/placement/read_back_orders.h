#pragma once

#include <placement/order_strategy.h>

namespace ej::placement {

/// Sends an order to each engine whose state, as read, differs from the desired one. This also
/// corrects an engine that does not check fencing numbers and has applied an outdated order.
class read_back_orders final : public order_strategy {
public:
    [[nodiscard]] std::vector<order> orders(const plan& desired,
                                            const std::vector<engine>& observed,
                                            core::fencing_number fencing) override;
};

} // namespace ej::placement
