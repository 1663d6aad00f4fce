#pragma once

#include <core/vm_id.h>

#include <vector>

namespace ej::membership {

/// Decides which daemons of its failure domain a daemon opens connections to.
class peer_strategy {
public:
    peer_strategy() = default;
    peer_strategy(const peer_strategy&) = delete;
    peer_strategy& operator=(const peer_strategy&) = delete;
    peer_strategy(peer_strategy&&) = delete;
    peer_strategy& operator=(peer_strategy&&) = delete;
    virtual ~peer_strategy() = default;

    /// `members` is sorted and contains `self`; the result does not contain `self`.
    [[nodiscard]] virtual std::vector<core::vm_id>
    choose(const core::vm_id& self, const std::vector<core::vm_id>& members) const = 0;
};

} // namespace ej::membership
