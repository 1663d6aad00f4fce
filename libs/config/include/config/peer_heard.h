#pragma once

#include <config/peer_message.h>

#include <core/vm_id.h>

namespace ej::config {

/// `message` was received from the daemon on `from`.
struct peer_heard {
    core::vm_id from;
    peer_message message;

    friend bool operator==(const peer_heard&, const peer_heard&) = default;
};

} // namespace ej::config
