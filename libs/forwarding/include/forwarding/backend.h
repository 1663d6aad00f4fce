#pragma once

#include <core/service_id.h>

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// A service that receives a weighted share of a route's requests.
struct backend {
    core::service_id service;
    std::uint32_t weight = 1; ///< Relative to the route's other backends; > 0.

    friend auto operator<=>(const backend&, const backend&) = default;
};

} // namespace ej::forwarding
