#pragma once

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// Capacity and capabilities of a service's model engines.
struct engine_profile {
    std::uint32_t slots = 1;            ///< Requests in one batch; >= 1.
    std::uint64_t memory_tokens = 0;    ///< Tokens for running requests and cached prompts.
    std::uint32_t tokens_per_event = 1; ///< Output tokens in a stream event; >= 1.
    bool keeps_backups = false; ///< Copies a request's memory to another engine while it grows.

    friend auto operator<=>(const engine_profile&, const engine_profile&) = default;
};

} // namespace ej::forwarding
