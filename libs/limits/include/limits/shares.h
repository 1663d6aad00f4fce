#pragma once

#include <limits/daemon_share.h>
#include <limits/member_size.h>

#include <core/endpoint_id.h>

#include <cstdint>
#include <span>

namespace ej::limits {

/// The share of `self` among `members`, which may be in any order. If `self` is not listed, it
/// counts as one more member of size 1.
[[nodiscard]] daemon_share share_of(std::span<const member_size> members, const core::vm_id& self);

/// Whole number of slots, out of `slots`, for `share` at the endpoint `name`. The results for all
/// shares of one list of members add up to exactly `slots`.
[[nodiscard]] std::uint32_t whole_slots(std::uint32_t slots, const daemon_share& share,
                                        const core::endpoint_id& name);

/// As above, but each `turn` gives the remainder of the division to other daemons.
[[nodiscard]] std::uint32_t whole_slots_in_turn(std::uint32_t slots, const daemon_share& share,
                                                const core::endpoint_id& name, std::uint64_t turn);

} // namespace ej::limits
