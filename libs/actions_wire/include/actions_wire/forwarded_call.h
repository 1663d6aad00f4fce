#pragma once

#include <actions/claim_nonce.h>
#include <core/class_id.h>
#include <core/idempotency_key.h>
#include <core/service_id.h>
#include <core/workspace_id.h>

#include <chrono>
#include <compare>
#include <string>

namespace ej::actions_wire {

/// An action that a daemon forwards to the daemon that owns it.
struct forwarded_call {
    core::workspace_id workspace;
    core::class_id work_class;
    core::service_id service;
    core::idempotency_key key;
    std::string path;
    std::string body;
    actions::claim_nonce nonce;       ///< Nonce of the claim; 0 when the key is a ticket.
    std::chrono::milliseconds left{}; ///< Time until the caller's deadline; >= 0.

    friend auto operator<=>(const forwarded_call&, const forwarded_call&) = default;
};

} // namespace ej::actions_wire
