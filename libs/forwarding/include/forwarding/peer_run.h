#pragma once

#include <forwarding/load_message.h>

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// The last message that was heard of another daemon.
struct peer_run {
    /// A daemon that was not heard for so long counts as gone: three of its regular messages.
    static constexpr core::duration validity = std::chrono::milliseconds(3'000);

    std::uint64_t start = 0;  ///< Differs between two runs of the daemon.
    std::uint64_t number = 0; ///< Of the message.
    core::instant heard{};

    /// The run after `message` came at `now`.
    [[nodiscard]] static peer_run after(const load_message& message, core::instant now)
    {
        return {message.start, message.number, now};
    }

    /// True if `message` is of another run of the daemon.
    [[nodiscard]] bool ended_by(const load_message& message) const
    {
        return start != message.start;
    }

    /// True if `message` is the last one again or came late behind it.
    [[nodiscard]] bool covers(const load_message& message) const
    {
        return !ended_by(message) && message.number <= number;
    }

    [[nodiscard]] bool silent(core::instant now) const { return now - heard > validity; }

    friend auto operator<=>(const peer_run&, const peer_run&) = default;
};

} // namespace ej::forwarding
