#pragma once

#include <peer/drop_reason.h>
#include <peer/peer_identity.h>

#include <functional>
#include <string>

namespace ej::peer {

/// Callbacks for events of peers. All run on the transport's thread and must not block; unset ones
/// are skipped.
struct peer_handlers {
    /// Sends the answer to a request; callable once, from any thread.
    using reply = std::function<void(std::string payload)>;

    std::function<void(const peer_identity&)> on_connected;
    std::function<void(const peer_identity&, drop_reason)> on_disconnected;
    std::function<void(const peer_identity&, const std::string& payload)> on_message;
    std::function<void(const peer_identity&, const std::string& payload, reply)> on_request;

    /// The address could not be reached, or its connection was lost or dropped.
    std::function<void(const peer_address&, drop_reason)> on_unreachable;
};

} // namespace ej::peer
