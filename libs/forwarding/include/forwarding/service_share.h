#pragma once

#include <core/service_id.h>

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// One daemon's requests for a service: sends within the retry budget's window, and those that
/// wait.
struct service_share {
    core::service_id service;
    std::uint32_t first_sends = 0;   ///< First sends of requests.
    std::uint32_t further_sends = 0; ///< Sends beyond the first.
    std::uint32_t waiting = 0;       ///< Generations that wait at the daemon for a place.

    friend auto operator<=>(const service_share&, const service_share&) = default;
};

} // namespace ej::forwarding
