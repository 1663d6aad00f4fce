#pragma once

#include <forwarding/route.h>
#include <forwarding/stream_stage.h>

#include <chrono>
#include <compare>

namespace ej::forwarding {

/// Timeouts for an engine that sends no data.
struct silence_bounds {
    std::chrono::milliseconds ask_after{};     ///< Then its liveness is checked.
    std::chrono::milliseconds give_up_after{}; ///< Then the request moves to another endpoint.

    friend auto operator<=>(const silence_bounds&, const silence_bounds&) = default;
};

/// The timeouts for a stream on route `by`.
[[nodiscard]] silence_bounds bounds_for(const route& by, stream_stage stage);

} // namespace ej::forwarding
