#pragma once

namespace ej::forwarding {

/// The step after an attempt that was not successful.
enum class next_step {
    send_again,   ///< Retry at another endpoint.
    wait,         ///< Retry after a pause: the answer has begun and may go on, but not now.
    pass_failure, ///< Pass the endpoint's error response to the caller.
    refuse,       ///< Reject the request: it has not run, so the caller may send it again.
    fail          ///< Return an error: the outcome is unknown, or no further attempt is allowed.
};

} // namespace ej::forwarding
