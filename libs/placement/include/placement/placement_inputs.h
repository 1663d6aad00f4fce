#pragma once

#include <placement/demand.h>
#include <placement/engine.h>
#include <placement/model.h>

#include <compare>
#include <vector>

namespace ej::placement {

/// What a plan is made from. Each list is sorted and names nothing twice.
struct placement_inputs {
    std::vector<engine> engines; ///< Those that are up and do not leave.
    std::vector<model> models;
    std::vector<demand> demands;

    friend auto operator<=>(const placement_inputs&, const placement_inputs&) = default;
};

} // namespace ej::placement
