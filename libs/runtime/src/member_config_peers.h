#pragma once

#include "config_peers.h"
#include "member_service.h"

#include <utility>

namespace ej::runtime {

/// Sends configuration messages over the connections between daemons. Thread-safe.
class member_config_peers final : public config_peers {
public:
    /// `members` outlives this.
    explicit member_config_peers(member_service& members) : members_(members) {}

    void send(const core::vm_id& to, std::string payload) override
    {
        members_.send(to, {peer_wire::message_kind::config_delta, std::move(payload)});
    }

private:
    member_service& members_;
};

} // namespace ej::runtime
