#pragma once

#include "action_responder.h"
#include "config_driver.h"
#include "death_responder.h"
#include "member_hooks.h"

#include <memory>
#include <utility>

namespace ej::runtime {

/// Hands peers' messages to the parts of the daemon that they are for. Messages that come before
/// `connect` are dropped. Thread-safe.
class message_router {
public:
    /// Where messages go; a part that is null gets none.
    struct receivers {
        std::shared_ptr<config_driver> config;
        std::shared_ptr<action_responder> actions;
        std::shared_ptr<death_responder> deaths;
    };

    /// Names the receivers; called once.
    void connect(receivers parts);

    /// A one-way message.
    void receive(const core::vm_id& from, const peer_wire::opaque_message& what) const;

    /// A request.
    void receive_request(const core::vm_id& from, const peer_wire::opaque_message& what,
                         member_hooks::reply_function reply) const;

private:
    concurrency::snapshot<receivers> receivers_{receivers{}};
};

} // namespace ej::runtime
