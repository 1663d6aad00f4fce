#pragma once

#include <placement/order_strategy.h>

#include <map>

namespace ej::placement {

/// Orders an engine when the plan for it changes, and trusts the order; for comparison.
class send_once_orders final : public order_strategy {
public:
    [[nodiscard]] std::vector<order> orders(const plan& desired,
                                            const std::vector<engine>& observed,
                                            core::fencing_number fencing) override;

private:
    std::map<core::endpoint_id, std::set<model_id>> sent_;
};

} // namespace ej::placement
