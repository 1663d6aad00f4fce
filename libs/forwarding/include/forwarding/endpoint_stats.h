#pragma once

#include <forwarding/requested_backoff.h>

#include <core/instant.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace ej::forwarding {

/// Load and health of an endpoint as seen by this daemon. Immutable: each event creates a new
/// value.
struct endpoint_stats {
    std::uint32_t in_flight = 0;     ///< This daemon's requests at the endpoint.
    std::uint64_t tokens_unread = 0; ///< Prompt tokens of its requests without output yet.
    std::uint64_t tokens_held = 0;   ///< Expected memory of its requests and copies at their end.
    std::uint32_t others_in_flight = 0;     ///< Other daemons' requests, from their messages.
    std::uint64_t others_tokens_unread = 0; ///< Prompt tokens of those without output yet.
    std::uint64_t others_tokens_held = 0;   ///< Expected memory of those and of their copies.
    std::uint32_t reported = 0; ///< Running and waiting requests of all daemons, last report.
    std::uint32_t in_flight_at_report = 0; ///< `in_flight` when that report arrived.
    core::instant reported_at{};
    double slowness = 1; ///< Time between stream events relative to the service's usual time; > 0.
    std::uint32_t failures = 0;  ///< Consecutive failures.
    core::instant avoid_until{}; ///< Ejected until then, unless no other endpoint is available.
    requested_backoff backoff;   ///< Gets no requests until its end, even if there is no other.
    std::uint32_t in_flight_before = 0; ///< Lowest `in_flight` since the backoff was requested.

    /// True if the endpoint asked this daemon to send nothing at `now`.
    [[nodiscard]] bool in_backoff(core::instant now) const { return backoff.until > now; }

    /// False during a backoff, and behind it while as many requests are at the endpoint as may be
    /// then.
    [[nodiscard]] bool accepts_requests(core::instant now) const;

    /// The earliest time from `now` on at which the endpoint may accept a request.
    [[nodiscard]] core::instant next_acceptance(core::instant now) const;

    friend auto operator<=>(const endpoint_stats&, const endpoint_stats&) = default;
};

} // namespace ej::forwarding
