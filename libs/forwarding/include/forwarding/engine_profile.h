#pragma once

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// What the model engines of a service have and can do.
struct engine_profile {
    std::uint32_t slots = 1;            ///< Requests in one batch; from 1.
    std::uint64_t memory_tokens = 0;    ///< Tokens of running requests and cached prompts.
    std::uint32_t tokens_per_event = 1; ///< Output tokens in an event of a stream; from 1.
    bool keeps_backups = false;         ///< Sends a request's memory to another engine as it grows.

    friend auto operator<=>(const engine_profile&, const engine_profile&) = default;
};

} // namespace ej::forwarding
