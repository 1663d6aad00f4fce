#pragma once

namespace ej::forwarding {

/// What follows an attempt that ended without a success.
enum class next_step {
    send_again,   ///< At another endpoint.
    pass_failure, ///< The endpoint's own failure goes to the caller.
    refuse,       ///< The request has not run: the caller may send it again.
    fail          ///< The outcome is unknown, or no further attempt is allowed.
};

} // namespace ej::forwarding
