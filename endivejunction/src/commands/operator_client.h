#pragma once

#include "operator_reply.h"

#include <core/address.h>

#include <string>

namespace ej::commands {

/// Calls one daemon's operator interface; a call blocks for at most 15 s.
class operator_client {
public:
    operator_client(core::address daemon, std::string key);

    /// Sends `method` to `target`, such as "/classes/a?if_revision=0".
    [[nodiscard]] operator_reply call(const std::string& method, const std::string& target,
                                      const std::string& body = {}) const;

private:
    core::address daemon_;
    std::string key_;
};

} // namespace ej::commands
