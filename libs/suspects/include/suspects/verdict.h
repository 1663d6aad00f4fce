#pragma once

namespace ej::suspects {

/// How a request may run.
enum class verdict {
    run,
    isolate, ///< Alone on an endpoint, one attempt at a time, sent by the daemon that owns the
             ///< request.
    refuse   ///< Treated as a poison request: not run any more.
};

} // namespace ej::suspects
