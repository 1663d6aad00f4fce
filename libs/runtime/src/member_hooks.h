#pragma once

#include <core/endpoint.h>
#include <core/vm_id.h>
#include <peer_wire/opaque_message.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ej::runtime {

/// Callbacks for events of the daemon's membership and peers. They must not block; unset ones are
/// skipped.
struct member_hooks {
    using reply_function = std::function<void(std::string payload)>;

    /// Called with the endpoints that may get new work when they have changed; calls don't overlap
    /// and come in order.
    std::function<void(const std::vector<core::endpoint>&)> on_endpoints;

    /// Called on the transport's thread with a message that membership does not handle itself.
    std::function<void(const core::vm_id& from, const peer_wire::opaque_message&)> on_message;

    /// Like `on_message`, for a request; the peer waits for the reply.
    std::function<void(const core::vm_id& from, const peer_wire::opaque_message&, reply_function)>
        on_request;

    /// Called when a peer's message was dropped; `reason` is a metric label.
    std::function<void(std::string_view reason)> on_dropped;
};

} // namespace ej::runtime
