#pragma once

#include <config/member.h>

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::config {

/// Bounds of following the configuration at one daemon.
struct follower_settings {
    member self;
    std::uint32_t watchers = 2;        ///< Daemons per failure domain that watch; from 1.
    std::uint32_t max_watchers = 6;    ///< When the platform is not heard of; >= watchers.
    std::uint32_t fanout = 4;          ///< Members to which one passes a change on; from 1.
    std::uint32_t recent_changes = 64; ///< Kept for peers that lag; from 1.
    core::duration digest_interval = std::chrono::seconds(1);       ///< > 0.
    core::duration silence_bound = std::chrono::milliseconds(2500); ///< Of a watch; > its wait.
    core::duration retry_delay = std::chrono::seconds(1);           ///< After a failed watch; > 0.
    core::duration verify_interval = std::chrono::seconds(10);      ///< Between plain reads; > 0.
    core::duration takeover_after = std::chrono::seconds(6);        ///< Per further watcher; > 0.
    core::duration behind_after = std::chrono::seconds(15);         ///< Without contact; > 0.
    core::duration peer_grace = std::chrono::seconds(3); ///< Start waits so long for a peer; >= 0.

    friend auto operator<=>(const follower_settings&, const follower_settings&) = default;
};

} // namespace ej::config
