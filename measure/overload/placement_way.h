#pragma once

#include <string_view>

namespace ej::measure {

/// How daemons of the model place generations.
struct placement_way {
    std::string_view name;
    std::string_view placement = "memory";    ///< Of `overload::make_placement`.
    std::string_view choice = "first_output"; ///< Of `forwarding::make_choice`.
    bool copies_yield = true;                 ///< Copies are not asked for while memory is scarce.
    bool fair = true; ///< Waiting generations are served by workspace, else by arrival.
};

} // namespace ej::measure
