#pragma once

#include <membership/peer_strategy.h>

namespace ej::membership {

/// The members in a ring; each connects to those 1, 2, 4, ... places on. Grows with the logarithm
/// of the members, as does the number of hops between any two.
class doubling_ring final : public peer_strategy {
public:
    [[nodiscard]] std::vector<core::vm_id>
    choose(const core::vm_id& self, const std::vector<core::vm_id>& members) const override;
};

} // namespace ej::membership
