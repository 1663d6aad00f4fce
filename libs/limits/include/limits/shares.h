#pragma once

#include <limits/daemon_share.h>
#include <limits/member_size.h>

#include <core/endpoint_id.h>

#include <cstdint>
#include <span>

namespace ej::limits {

/// The part of `self` among `members`, which need no order. A daemon that is not listed counts as
/// one more member of size 1.
[[nodiscard]] daemon_share share_of(std::span<const member_size> members, const core::vm_id& self);

/// Whole slots out of `slots` that fall to `share` at the endpoint `name`. Over the shares of one
/// list of members they add up to exactly `slots`.
[[nodiscard]] std::uint32_t whole_slots(std::uint32_t slots, const daemon_share& share,
                                        const core::endpoint_id& name);

/// As above; the remainder of the division falls to other daemons with each `turn`.
[[nodiscard]] std::uint32_t whole_slots_in_turn(std::uint32_t slots, const daemon_share& share,
                                                const core::endpoint_id& name, std::uint64_t turn);

} // namespace ej::limits
