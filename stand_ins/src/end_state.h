#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ej::stand_ins {

/// The state that the last accepted order put an engine in.
struct end_state {
    std::uint64_t fencing = 0;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string role;

    friend auto operator<=>(const end_state&, const end_state&) = default;
};

} // namespace ej::stand_ins
