#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace ej::forwarding {

/// What this daemon knows of an endpoint's load and health. Immutable: an event gives a new one.
struct endpoint_standing {
    std::uint32_t in_flight = 0;            ///< This daemon's requests there.
    std::uint64_t tokens_unread = 0;        ///< Prompt tokens of those without output yet.
    std::uint32_t others_in_flight = 0;     ///< Other daemons' requests, as they told.
    std::uint64_t others_tokens_unread = 0; ///< Prompt tokens of those without output yet.
    std::uint32_t reported = 0; ///< Running and waiting by its last report, of all daemons.
    std::uint32_t in_flight_at_report = 0; ///< This daemon's requests there when it reported.
    core::instant reported_at{};
    double slowness = 1;         ///< Time of an event against the service's usual one; > 0.
    std::uint32_t failures = 0;  ///< In a row.
    core::instant avoid_until{}; ///< No request before, if another endpoint is there.

    friend auto operator<=>(const endpoint_standing&, const endpoint_standing&) = default;
};

} // namespace ej::forwarding
