#pragma once

#include <config/peer_message.h>

#include <core/vm_id.h>

namespace ej::config {

/// `message` was received from the daemon on `from`.
struct peer_message_received {
    core::vm_id from;
    peer_message message;

    friend bool operator==(const peer_message_received&, const peer_message_received&) = default;
};

} // namespace ej::config
