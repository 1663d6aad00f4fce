#pragma once

#include <config/member.h>

#include <core/vm_id.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace ej::config {

/// A daemon's position in the tree over which the members of its failure domain forward changes.
/// Each member computes the tree by itself; members with the same list of live members get the same
/// tree.
struct tree_position {
    std::uint32_t rank = 0;                ///< 0: first to watch the platform.
    std::vector<core::vm_id> roots;        ///< The domain's watchers, without this daemon.
    std::vector<core::vm_id> children;     ///< Members to which this daemon forwards changes.
    std::vector<core::vm_id> domain_peers; ///< All other members of the domain.
    std::vector<core::vm_id> remote_peers; ///< Members of other domains.

    friend auto operator<=>(const tree_position&, const tree_position&) = default;
};

/// The position of `self` in the tree of `members`, with `watchers` roots and up to `fanout`
/// children for each member.
[[nodiscard]] tree_position find_tree_position(const member& self,
                                               const std::vector<member>& members,
                                               std::uint32_t watchers, std::uint32_t fanout);

} // namespace ej::config
