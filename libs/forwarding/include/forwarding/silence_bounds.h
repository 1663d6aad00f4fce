#pragma once

#include <forwarding/route.h>
#include <forwarding/stream_stage.h>

#include <chrono>
#include <compare>

namespace ej::forwarding {

/// How long an engine may be silent.
struct silence_bounds {
    std::chrono::milliseconds ask_after{};     ///< Then it is asked whether it is still there.
    std::chrono::milliseconds give_up_after{}; ///< Then the request goes on elsewhere.

    friend auto operator<=>(const silence_bounds&, const silence_bounds&) = default;
};

/// The bounds for a stream of `by`.
[[nodiscard]] silence_bounds bounds_for(const route& by, stream_stage stage);

} // namespace ej::forwarding
