#pragma once

#include <config/member.h>

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::config {

/// Settings of `config_follower`.
struct follower_settings {
    member self;
    std::uint32_t watchers = 2;        ///< Daemons per domain that watch the log; from 1.
    std::uint32_t max_watchers = 6;    ///< Limit during a loss of platform contact; >= watchers.
    std::uint32_t fanout = 4;          ///< Members to which each one forwards; from 1.
    std::uint32_t recent_changes = 64; ///< Changes kept for peers that lag; from 1.
    core::duration digest_interval = std::chrono::seconds(1);       ///< Between digests; > 0.
    core::duration watch_timeout = std::chrono::milliseconds(2500); ///< Of one watch; > its wait.
    core::duration retry_delay = std::chrono::seconds(1);           ///< After a failed watch; > 0.
    core::duration verify_interval = std::chrono::seconds(10);      ///< Between forced reads; > 0.
    core::duration takeover_after = std::chrono::seconds(6); ///< Silence per added watcher; > 0.
    core::duration behind_after = std::chrono::seconds(15);  ///< Time without contact; > 0.
    core::duration peer_grace = std::chrono::seconds(3);     ///< Startup wait for a peer; >= 0.

    friend auto operator<=>(const follower_settings&, const follower_settings&) = default;
};

} // namespace ej::config
