#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::membership {

/// When a daemon's regular messages are due.
struct gossip_schedule {
    core::instant next_exchange;
    core::instant next_summary;
    core::instant last_summary;
    std::uint64_t draws = 0; ///< Random choices made so far.

    friend auto operator<=>(const gossip_schedule&, const gossip_schedule&) = default;
};

} // namespace ej::membership
