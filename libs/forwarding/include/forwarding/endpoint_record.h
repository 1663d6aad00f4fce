#pragma once

#include <core/endpoint.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// An endpoint as it registers itself in the store.
struct endpoint_record {
    core::endpoint what;  ///< Its incarnation is the time of its start.
    bool leaving = false; ///< Takes no new requests.

    friend auto operator<=>(const endpoint_record&, const endpoint_record&) = default;
};

} // namespace ej::forwarding
