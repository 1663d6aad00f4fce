#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ej::stand_ins {

/// What the last accepted `POST /orders` assigned to an engine.
struct engine_assignment {
    std::uint64_t fencing = 0;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::string role;

    friend auto operator<=>(const engine_assignment&, const engine_assignment&) = default;
};

} // namespace ej::stand_ins
