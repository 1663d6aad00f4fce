#pragma once

namespace ej::fleet {

/// What a scripted endpoint does next on a connection.
enum class step_kind {
    send,
    wait,
    close, ///< In good order.
    reset,
    hang ///< Nothing more until the endpoint ends.
};

} // namespace ej::fleet
