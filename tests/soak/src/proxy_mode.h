#pragma once

namespace ej::soak {

/// What a proxy does to its connections.
enum class proxy_mode {
    pass,
    delay,   ///< Each piece comes later.
    hold,    ///< Nothing gets through until the mode changes, as in a partition.
    one_way, ///< What the server sends is held.
    mute     ///< Connections that are open now are silent for good, new ones pass.
};

} // namespace ej::soak
