#pragma once

#include <config/peer_message.h>

#include <core/vm_id.h>

namespace ej::config {

/// Send `message` to the daemon on `to`; delivery is not guaranteed.
struct send_to_peer {
    core::vm_id to;
    peer_message message;

    friend bool operator==(const send_to_peer&, const send_to_peer&) = default;
};

} // namespace ej::config
