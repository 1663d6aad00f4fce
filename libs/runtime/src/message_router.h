#pragma once

#include "action_responder.h"
#include "config_link.h"
#include "member_hooks.h"

#include <memory>
#include <utility>

namespace ej::runtime {

/// Hands peers' messages to the parts of the daemon that they are for. Messages that come before
/// `connect` are dropped. Thread-safe.
class message_router {
public:
    /// Names the receivers; called once.
    void connect(std::shared_ptr<config_link> config, std::shared_ptr<action_responder> actions);

    /// A one-way message.
    void hear(const core::vm_id& from, const peer_wire::opaque_message& what) const;

    /// A request.
    void hear_request(const peer_wire::opaque_message& what,
                      member_hooks::reply_function reply) const;

private:
    struct receivers {
        std::shared_ptr<config_link> config;
        std::shared_ptr<action_responder> actions;
    };

    concurrency::snapshot<receivers> receivers_{receivers{}};
};

} // namespace ej::runtime
