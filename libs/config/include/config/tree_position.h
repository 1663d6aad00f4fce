#pragma once

#include <config/member.h>

#include <core/vm_id.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace ej::config {

/// A daemon's place in the tree over which its failure domain's members pass changes on. Members
/// agree on it without a message as far as they agree on who is live.
struct tree_position {
    std::uint32_t rank = 0;                ///< 0: first to watch the platform.
    std::vector<core::vm_id> roots;        ///< The domain's watchers, without oneself.
    std::vector<core::vm_id> children;     ///< To which this daemon passes changes on.
    std::vector<core::vm_id> domain_peers; ///< All others of the domain.
    std::vector<core::vm_id> remote_peers; ///< Members of other domains.

    friend auto operator<=>(const tree_position&, const tree_position&) = default;
};

/// The place of `self` among `members`, with `watchers` roots and `fanout` children each.
[[nodiscard]] tree_position find_tree_position(const member& self,
                                               const std::vector<member>& members,
                                               std::uint32_t watchers, std::uint32_t fanout);

} // namespace ej::config
