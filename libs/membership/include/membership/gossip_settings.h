#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstddef>

namespace ej::membership {

/// Intervals and limits of the messages between daemons.
struct gossip_settings {
    /// Between messages to one peer.
    core::duration message_interval = std::chrono::milliseconds(200);
    /// Between messages to one peer that hold only summaries.
    core::duration summary_message_interval = std::chrono::seconds(2);
    /// Between digests.
    core::duration digest_interval = std::chrono::seconds(10);
    /// Between summaries of this domain, or `summary_interval_per_domain` times the number of
    /// domains if that is longer.
    core::duration min_summary_interval = std::chrono::seconds(2);
    core::duration summary_interval_per_domain = std::chrono::milliseconds(640);
    /// Between summaries of this domain when endpoints leave.
    core::duration leaving_summary_interval = std::chrono::seconds(1);
    std::size_t max_entries = 32;   ///< In one message; from 1.
    std::size_t summary_fanout = 2; ///< Peers that a summary is forwarded to.
    std::size_t bridges = 2;        ///< Daemons of a domain that connect to other domains.

    friend auto operator<=>(const gossip_settings&, const gossip_settings&) = default;
};

} // namespace ej::membership
