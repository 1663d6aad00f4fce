#pragma once

#include <placement/order_strategy.h>

#include <map>

namespace ej::placement {

/// Sends an order to an engine only when its plan changes and assumes that the order is applied.
/// For comparison.
class send_once_orders final : public order_strategy {
public:
    [[nodiscard]] std::vector<order> orders(const plan& desired,
                                            const std::vector<engine>& observed,
                                            core::fencing_number fencing) override;

private:
    std::map<core::endpoint_id, std::set<model_id>> sent_;
};

} // namespace ej::placement
