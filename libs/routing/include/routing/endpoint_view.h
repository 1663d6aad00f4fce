#pragma once

#include <core/endpoint_id.h>
#include <core/instant.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace ej::routing {

/// State of an endpoint as seen by one daemon. Immutable: each event creates a new view.
struct endpoint_view {
    core::endpoint_id name{};
    std::uint32_t slots = 1;              ///< Requests that it runs at once; >= 1.
    std::uint32_t limit = 1;              ///< Requests that this daemon may have in flight.
    std::uint32_t in_flight = 0;          ///< This daemon's requests at the endpoint.
    std::uint32_t urgent_in_flight = 0;   ///< Those of them that are urgent.
    std::uint32_t reported = 0;           ///< Running and waiting in the last load report.
    std::uint32_t sent_since_report = 0;  ///< This daemon's requests sent since then.
    std::uint32_t ended_since_report = 0; ///< This daemon's requests ended since then.
    std::uint64_t reports = 0;            ///< Reports received.
    double work_rate = 0;                 ///< Tokens per second of one slot; 0: unknown.
    double success = 1; ///< Moving average of the share of requests that finish; 0 to 1.
    core::instant available_since{}; ///< When it was added or came back.
    std::optional<core::instant>
        blocked_until{}; ///< Set while it is ejected for failures: no requests.

    friend auto operator<=>(const endpoint_view&, const endpoint_view&) = default;
};

} // namespace ej::routing
