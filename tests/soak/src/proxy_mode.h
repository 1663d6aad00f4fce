#pragma once

namespace ej::soak {

/// How a proxy handles its connections.
enum class proxy_mode {
    pass,
    delay,   ///< Each chunk of data is forwarded late.
    hold,    ///< Forwards nothing until the mode changes, as in a network partition.
    one_way, ///< Holds only the data from the server.
    mute     ///< Connections open at the change forward nothing any more; new ones pass.
};

} // namespace ej::soak
