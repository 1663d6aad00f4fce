#pragma once

#include <core/endpoint_id.h>
#include <core/instant.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace ej::routing {

/// One daemon's knowledge of an endpoint. Immutable: an event gives a new view.
struct endpoint_view {
    core::endpoint_id name{};
    std::uint32_t slots = 1;                      ///< Requests that it runs at once; from 1.
    std::uint32_t limit = 1;                      ///< Requests that this daemon may have in flight.
    std::uint32_t in_flight = 0;                  ///< This daemon's requests there.
    std::uint32_t urgent_in_flight = 0;           ///< Those of them that are urgent.
    std::uint32_t reported = 0;                   ///< Running and waiting by the last report.
    std::uint32_t sent_since_report = 0;          ///< This daemon's requests sent since then.
    std::uint32_t ended_since_report = 0;         ///< This daemon's requests ended since then.
    std::uint64_t reports = 0;                    ///< Reports received.
    double work_rate = 0;                         ///< Tokens per second of one slot; 0: not known.
    double success = 1;                           ///< Share of requests that finish; 0 to 1.
    core::instant available_since{};              ///< When it appeared or came back.
    std::optional<core::instant> blocked_until{}; ///< Set while it fails: no requests until then.

    friend auto operator<=>(const endpoint_view&, const endpoint_view&) = default;
};

} // namespace ej::routing
