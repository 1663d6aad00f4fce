#pragma once

#include <forwarding/route.h>
#include <forwarding/stream_stage.h>

#include <chrono>
#include <compare>

namespace ej::forwarding {

/// Timeouts for an engine that sends no data.
struct silence_timeouts {
    std::chrono::milliseconds probe_after{};   ///< Then its liveness is checked.
    std::chrono::milliseconds give_up_after{}; ///< Then the request moves to another endpoint.

    friend auto operator<=>(const silence_timeouts&, const silence_timeouts&) = default;
};

/// The timeouts for a stream on route `by`.
[[nodiscard]] silence_timeouts silence_timeouts_for(const route& by, stream_stage stage);

} // namespace ej::forwarding
