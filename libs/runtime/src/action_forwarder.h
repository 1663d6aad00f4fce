#pragma once

#include "short_call.h"

#include <actions/action_outcome.h>
#include <actions/claim_nonce.h>
#include <actions/owner.h>

#include <boost/asio/awaitable.hpp>

namespace ej::runtime {

/// Forwards calls to the daemon that owns their action. Thread-safe.
class action_forwarder {
public:
    action_forwarder() = default;
    virtual ~action_forwarder() = default;
    action_forwarder(const action_forwarder&) = delete;
    action_forwarder& operator=(const action_forwarder&) = delete;
    action_forwarder(action_forwarder&&) = delete;
    action_forwarder& operator=(action_forwarder&&) = delete;

    /// Returns the owner's outcome, or `unknown` if the owner did not answer by the call's
    /// deadline. `nonce` is the nonce of the claim, 0 for a ticket.
    virtual boost::asio::awaitable<actions::action_outcome>
    forward(actions::owner to, actions::claim_nonce nonce, short_call call) = 0;
};

} // namespace ej::runtime
