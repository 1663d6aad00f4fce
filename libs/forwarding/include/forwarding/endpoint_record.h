#pragma once

#include <core/endpoint.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// An endpoint's registration in the store.
struct endpoint_record {
    core::endpoint what;
    bool leaving = false;         ///< Takes no new requests.
    std::uint64_t started_ms = 0; ///< Start of this incarnation, in Unix milliseconds.

    friend auto operator<=>(const endpoint_record&, const endpoint_record&) = default;
};

} // namespace ej::forwarding
