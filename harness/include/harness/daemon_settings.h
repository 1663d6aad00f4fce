#pragma once

#include <string>
#include <vector>

namespace ej::harness {

/// What a daemon is started with.
struct daemon_settings {
    std::string name;
    std::string domain;
    std::vector<std::string> flags; ///< Further ones.
};

} // namespace ej::harness
