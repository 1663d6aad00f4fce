#pragma once

#include <string>
#include <vector>

namespace ej::harness {

/// Name, failure domain and flags of a daemon that a test starts.
struct daemon_settings {
    std::string name;
    std::string domain;
    std::vector<std::string> flags; ///< Additional flags.
};

} // namespace ej::harness
