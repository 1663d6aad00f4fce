#pragma once

#include <membership/boot_number.h>
#include <membership/member_state.h>
#include <membership/member_version.h>

#include <core/address.h>
#include <core/failure_domain_id.h>
#include <core/vm_id.h>

#include <compare>

namespace ej::membership {

/// The state of a daemon as known to another. The greater of two entries of one daemon is newer;
/// the order of the fields decides.
struct member_entry {
    core::vm_id vm;
    boot_number boot;
    member_version version;
    member_state state = member_state::alive;
    core::failure_domain_id domain;
    core::address where; ///< Where it listens for peers.

    friend auto operator<=>(const member_entry&, const member_entry&) = default;
};

} // namespace ej::membership
