#pragma once

#include <core/instant.h>

#include <compare>
#include <optional>

namespace ej::forwarding {

/// How fast the engines at an address are.
struct address_speed {
    double slowness = 1; ///< Time between stream events relative to the service's usual time; > 0.
    /// Since when reviews have found no available endpoint at the address.
    std::optional<core::instant> unused_since;

    friend auto operator<=>(const address_speed&, const address_speed&) = default;
};

} // namespace ej::forwarding
