#pragma once

#include <core/endpoint_id.h>

#include <compare>
#include <cstdint>

namespace ej::limits {

/// Load of an endpoint as known to a daemon when a load report arrives.
struct endpoint_load {
    core::endpoint_id name;
    std::uint32_t slots = 1;   ///< Requests that the endpoint runs at once; >= 1.
    std::uint32_t running = 0; ///< Running requests of all daemons.
    std::uint32_t waiting = 0; ///< Waiting requests of all daemons.
    std::uint32_t own = 0;     ///< This daemon's requests in flight at the endpoint.
    std::uint64_t report = 0;  ///< Number of reports received; may differ between daemons.

    friend auto operator<=>(const endpoint_load&, const endpoint_load&) = default;
};

} // namespace ej::limits
