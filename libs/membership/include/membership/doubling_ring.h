#pragma once

#include <membership/peer_strategy.h>

namespace ej::membership {

/// Arranges the members in a ring; each connects to those 1, 2, 4, ... positions further on. The
/// number of connections of a member, and of hops between any two, grows with the logarithm of the
/// number of members.
class doubling_ring final : public peer_strategy {
public:
    [[nodiscard]] std::vector<core::vm_id>
    choose(const core::vm_id& self, const std::vector<core::vm_id>& members) const override;
};

} // namespace ej::membership
