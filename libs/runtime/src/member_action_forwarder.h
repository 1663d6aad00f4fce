#pragma once

#include "action_forwarder.h"
#include "member_service.h"

namespace ej::runtime {

/// Forwards calls to their action's owner over the connections between daemons. Thread-safe.
class member_action_forwarder final : public action_forwarder {
public:
    /// `members` outlives this.
    explicit member_action_forwarder(member_service& members) : members_(members) {}

    boost::asio::awaitable<actions::action_outcome>
    forward(actions::owner to, actions::claim_nonce nonce, short_call call) override;

private:
    member_service& members_;
};

} // namespace ej::runtime
