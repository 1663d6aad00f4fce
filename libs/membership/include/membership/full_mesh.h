#pragma once

#include <membership/peer_strategy.h>

namespace ej::membership {

/// Connects every member to every other. For comparison.
class full_mesh final : public peer_strategy {
public:
    [[nodiscard]] std::vector<core::vm_id>
    choose(const core::vm_id& self, const std::vector<core::vm_id>& members) const override;
};

} // namespace ej::membership
