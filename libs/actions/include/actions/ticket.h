#pragma once

#include <actions/owner.h>
#include <actions/ticket_number.h>

#include <core/class_id.h>
#include <core/workspace_id.h>

#include <chrono>
#include <compare>

namespace ej::actions {

/// Leave to run one action once, at the daemon incarnation that issued it and at no other.
struct ticket {
    core::workspace_id workspace;
    core::class_id work;
    owner issuer;
    ticket_number number;
    /// End of validity on the issuer's monotonic clock, counted from its start; > 0.
    std::chrono::milliseconds expires_after_start{0};

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

} // namespace ej::actions
