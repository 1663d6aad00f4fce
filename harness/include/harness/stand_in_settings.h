#pragma once

#include <string>
#include <vector>

namespace ej::harness {

/// What a stand-in is started with.
struct stand_in_settings {
    std::string role; ///< "engine" or "application".
    std::string name;
    std::string domain;
    std::string service;
    std::vector<std::string> flags; ///< Further ones, as "--slots", "4".
};

} // namespace ej::harness
