#pragma once

#include <core/instant.h>

#include <compare>

namespace ej::forwarding {

/// The step for a request that no endpoint accepts now.
struct backoff_step {
    bool wait = false;      ///< Try again here after `delay`; otherwise refuse the request.
    core::duration delay{}; ///< For a refusal: after which the caller may come back.

    friend auto operator<=>(const backoff_step&, const backoff_step&) = default;
};

} // namespace ej::forwarding
