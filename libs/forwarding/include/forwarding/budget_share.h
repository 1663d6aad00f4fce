#pragma once

#include <core/service_id.h>

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// One daemon's sends to a service within the budget's window.
struct budget_share {
    core::service_id service;
    std::uint32_t firsts = 0;  ///< First sends of requests.
    std::uint32_t repeats = 0; ///< Sends beyond the first.

    friend auto operator<=>(const budget_share&, const budget_share&) = default;
};

} // namespace ej::forwarding
