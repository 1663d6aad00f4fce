#pragma once

#include <string>
#include <vector>

namespace ej::harness {

/// Role, name, failure domain, service and flags of a stand-in that a test starts.
struct stand_in_settings {
    std::string role; ///< "engine" or "application".
    std::string name;
    std::string domain;
    std::string service;
    std::vector<std::string> flags; ///< Additional flags, for example "--slots", "4".
};

} // namespace ej::harness
