#pragma once

#include "frame.h"
#include "socket_types.h"

#include <peer/peer_identity.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace ej::peer {

/// One connection and the state of its handshake. Owned by the transport's thread.
struct peer_session {
    using ptr = std::shared_ptr<peer_session>;
    using instant = std::chrono::steady_clock::time_point;

    socket_connection socket;
    bool initiator = false;
    peer_address dialled_address; ///< Set when this end opened the connection.
    std::string own_nonce;
    std::string remote_nonce;
    peer_identity remote;
    bool authenticated = false;
    bool ended = false;
    instant opened;
    instant last_received;
    instant last_used;                     ///< Last message, request or answer, sent or received.
    std::vector<frame> unsent;             ///< Sent once the session is authenticated.
    std::set<std::uint64_t> pending_calls; ///< Numbers of requests without an answer.
};

} // namespace ej::peer
