#pragma once

#include "action_responder.h"
#include "config_driver.h"
#include "death_responder.h"
#include "member_hooks.h"

#include <memory>
#include <utility>

namespace ej::runtime {

/// Dispatches peers' messages to the components of the daemon by kind. Messages that come before
/// `connect` are dropped. Thread-safe.
class message_router {
public:
    /// The receivers of messages; messages for a null receiver are dropped.
    struct receivers {
        std::shared_ptr<config_driver> config;
        std::shared_ptr<action_responder> actions;
        std::shared_ptr<death_responder> deaths;
    };

    /// Sets the receivers; called once.
    void connect(receivers parts);

    /// Dispatches a one-way message.
    void receive(const core::vm_id& from, const peer_wire::opaque_message& message) const;

    /// Dispatches a request; `reply` is called with the answer, if there is one.
    void receive_request(const core::vm_id& from, const peer_wire::opaque_message& message,
                         member_hooks::reply_function reply) const;

private:
    concurrency::snapshot<receivers> receivers_{receivers{}};
};

} // namespace ej::runtime
