#pragma once

namespace ej::suspects {

/// How a request may run.
enum class verdict {
    run,
    isolate, ///< Alone on one endpoint, one attempt at a time, by the daemon that owns it.
    refuse   ///< Endpoints died while they ran nothing else.
};

} // namespace ej::suspects
