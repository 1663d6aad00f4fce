#pragma once

namespace ej::fleet {

/// The action of a scripted endpoint on a connection.
enum class step_kind {
    send,
    wait,
    hold,  ///< Sends nothing until the endpoint's `release` is called.
    close, ///< Closes the connection gracefully.
    reset, ///< Closes the connection with a TCP reset.
    crash, ///< Crashes the endpoint; it accepts connections again after the step's time. The
           ///< step's text, if any, is sent before this connection is closed gracefully.
    hang,  ///< Sends nothing more and keeps the connection open until the endpoint stops.
    vanish ///< Drop all packets of the connection for `time`, as if the machine had gone.
};

} // namespace ej::fleet
