#pragma once

#include <core/vm_id.h>

#include <string>

namespace ej::runtime {

/// Sends configuration messages to other daemons. Thread-safe; does not block.
class config_peers {
public:
    config_peers() = default;
    virtual ~config_peers() = default;
    config_peers(const config_peers&) = delete;
    config_peers& operator=(const config_peers&) = delete;
    config_peers(config_peers&&) = delete;
    config_peers& operator=(config_peers&&) = delete;

    /// Sends `payload` to the daemon on VM `to`; the message may be lost.
    virtual void send(const core::vm_id& to, std::string payload) = 0;
};

} // namespace ej::runtime
