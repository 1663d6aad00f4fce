#pragma once

#include <core/endpoint_id.h>

#include <compare>
#include <cstdint>

namespace ej::limits {

/// What a daemon knows of an endpoint as a load report arrives.
struct endpoint_load {
    core::endpoint_id name;
    std::uint32_t slots = 1;   ///< Requests that the endpoint runs at once; from 1.
    std::uint32_t running = 0; ///< Running there for all daemons.
    std::uint32_t waiting = 0; ///< Waiting there for all daemons.
    std::uint32_t own = 0;     ///< This daemon's requests in flight there.
    std::uint64_t report = 0;  ///< Counts the reports; daemons need not agree on it.

    friend auto operator<=>(const endpoint_load&, const endpoint_load&) = default;
};

} // namespace ej::limits
