#pragma once

#include <core/service_id.h>

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// Number of sends from one daemon to a service within the retry budget's window.
struct budget_share {
    core::service_id service;
    std::uint32_t first_sends = 0;   ///< First sends of requests.
    std::uint32_t further_sends = 0; ///< Sends beyond the first.

    friend auto operator<=>(const budget_share&, const budget_share&) = default;
};

} // namespace ej::forwarding
