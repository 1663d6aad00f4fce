#pragma once

#include <actions/owner.h>
#include <actions/ticket_number.h>

#include <core/class_id.h>
#include <core/workspace_id.h>

#include <chrono>
#include <compare>

namespace ej::actions {

/// Permission to run one action once, valid only at the daemon incarnation that issued it.
struct ticket {
    core::workspace_id workspace;
    core::class_id work;
    owner issuer;
    ticket_number number;
    /// Expiry on the issuer's monotonic clock, relative to the issuer's start; > 0.
    std::chrono::milliseconds expires_after_start{0};

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

} // namespace ej::actions
