#pragma once

#include <placement/order_strategy.h>

namespace ej::placement {

/// Orders each engine whose state, as read, is not the wanted one. Puts right what an old order did
/// to an engine that does not check fencing numbers.
class read_back_orders final : public order_strategy {
public:
    [[nodiscard]] std::vector<order> orders(const plan& desired,
                                            const std::vector<engine>& observed,
                                            core::fencing_number fencing) override;
};

} // namespace ej::placement
