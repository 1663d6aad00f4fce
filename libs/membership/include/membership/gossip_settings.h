#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstddef>

namespace ej::membership {

/// Pace and bounds of the messages between daemons.
struct gossip_settings {
    core::duration message_interval =
        std::chrono::milliseconds(200); ///< Between messages to one peer.
    core::duration summary_message_interval = std::chrono::seconds(2); ///< With summaries alone.
    core::duration digest_interval = std::chrono::seconds(10);         ///< Between digests.
    core::duration min_summary_interval =
        std::chrono::seconds(2); ///< Between a domain's summaries,
    core::duration summary_interval_per_domain =
        std::chrono::milliseconds(640); ///< or this by domain.
    core::duration leaving_summary_interval =
        std::chrono::seconds(1);    ///< With news of leaving endpoints.
    std::size_t max_entries = 32;   ///< In one message; from 1.
    std::size_t summary_fanout = 2; ///< Neighbours that a summary is passed to.
    std::size_t bridges = 2;        ///< Daemons of a domain that speak to other domains.

    friend auto operator<=>(const gossip_settings&, const gossip_settings&) = default;
};

} // namespace ej::membership
