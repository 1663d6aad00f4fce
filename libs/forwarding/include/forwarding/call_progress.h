#pragma once

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// What has become of a request so far.
struct call_progress {
    std::uint32_t sends = 0;   ///< Attempts that reached, or may have reached, an endpoint.
    std::uint32_t unsent = 0;  ///< Attempts that found no connection.
    std::uint32_t runs = 0;    ///< Attempts that may have run.
    bool may_have_run = false; ///< Some endpoint may have begun to run it.
    bool delivering = false;   ///< The caller has the head of an answer.
    bool expired = false;      ///< The time for an answer is over.
    bool budget_left = true;   ///< The service's budget covers another send.
    bool had_output = false;   ///< Some endpoint has made output for it.

    friend auto operator<=>(const call_progress&, const call_progress&) = default;
};

} // namespace ej::forwarding
