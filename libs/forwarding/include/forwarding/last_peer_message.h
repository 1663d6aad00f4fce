#pragma once

#include <forwarding/load_message.h>

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// Identifies the last message received from another daemon.
struct last_peer_message {
    /// A daemon counts as gone after this time without a message: three missed regular messages.
    static constexpr core::duration validity = std::chrono::milliseconds(3'000);

    std::uint64_t start = 0;  ///< Differs after each restart of the daemon.
    std::uint64_t number = 0; ///< Sequence number of the message.
    core::instant received_at{};

    /// The value after `message` was received at `now`.
    [[nodiscard]] static last_peer_message after(const load_message& message, core::instant now)
    {
        return {message.start, message.number, now};
    }

    /// True if `message` and the last one were sent in different runs of the daemon.
    [[nodiscard]] bool is_from_other_run(const load_message& message) const
    {
        return start != message.start;
    }

    /// True if `message` is the last one again or an older one of the same run.
    [[nodiscard]] bool is_duplicate_or_late(const load_message& message) const
    {
        return !is_from_other_run(message) && message.number <= number;
    }

    [[nodiscard]] bool expired(core::instant now) const { return now - received_at > validity; }

    friend auto operator<=>(const last_peer_message&, const last_peer_message&) = default;
};

} // namespace ej::forwarding
