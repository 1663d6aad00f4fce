#pragma once

#include <core/endpoint_id.h>

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// One daemon's share of an endpoint's load.
struct load_share {
    core::endpoint_id endpoint;
    std::uint32_t in_flight = 0;     ///< The daemon's requests at the endpoint.
    std::uint64_t tokens_unread = 0; ///< Prompt tokens of those without output yet.
    std::uint64_t tokens_held = 0;   ///< Expected memory of its requests and copies at their end.

    friend auto operator<=>(const load_share&, const load_share&) = default;
};

} // namespace ej::forwarding
