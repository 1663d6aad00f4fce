#pragma once

#include <peer/peer_address.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace ej::peer {

/// Settings of a daemon's connections to its peers.
struct peer_settings {
    std::string name;            ///< This daemon's name; not empty.
    std::string domain;          ///< Its failure domain; not empty.
    peer_address listen;         ///< Port 0: chosen by the system.
    std::string secret;          ///< Shared by the fleet; at least 16 bytes.
    std::string advertised_host; ///< IP address that peers connect to; empty: that of `listen`.
    std::chrono::milliseconds heartbeat_interval{2'000}; ///< Between heartbeats; > 0.
    std::chrono::milliseconds silence_timeout{
        7'000}; ///< A peer is dropped after this time without data.
    std::chrono::milliseconds idle_timeout{
        60'000}; ///< Unused on-demand connections close after it.
    std::chrono::milliseconds handshake_timeout{3'000}; ///< To connect and prove the secret.
    std::size_t max_frame_bytes = 1'200'000;            ///< Largest frame, sent or received.
    std::size_t max_buffered_bytes = 8'000'000; ///< Unsent bytes at which a peer is dropped.
};

} // namespace ej::peer
