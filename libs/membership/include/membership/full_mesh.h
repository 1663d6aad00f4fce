#pragma once

#include <membership/peer_strategy.h>

namespace ej::membership {

/// Every member connects to every other; for comparison.
class full_mesh final : public peer_strategy {
public:
    [[nodiscard]] std::vector<core::vm_id>
    choose(const core::vm_id& self, const std::vector<core::vm_id>& members) const override;
};

} // namespace ej::membership
