#pragma once

#include <compare>
#include <cstdint>

namespace ej::forwarding {

/// Progress of a request over all its attempts.
struct call_progress {
    std::uint32_t sends = 0;   ///< Attempts that reached, or may have reached, an endpoint.
    std::uint32_t unsent = 0;  ///< Attempts that could not connect.
    std::uint32_t runs = 0;    ///< Attempts that may have run.
    bool may_have_run = false; ///< An endpoint may have begun to run the request.
    bool delivering = false;   ///< The response header was sent to the caller.
    bool expired = false;      ///< The request's deadline has passed.
    bool budget_left = true;   ///< The service's retry budget allows another send.
    bool had_output = false;   ///< An endpoint has produced output for the request.

    friend auto operator<=>(const call_progress&, const call_progress&) = default;
};

} // namespace ej::forwarding
