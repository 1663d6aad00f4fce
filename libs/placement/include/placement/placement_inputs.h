#pragma once

#include <placement/demand.h>
#include <placement/engine.h>
#include <placement/model.h>

#include <compare>
#include <vector>

namespace ej::placement {

/// The state that a plan is computed from. Each list is sorted and without duplicates.
struct placement_inputs {
    std::vector<engine> engines; ///< Those that are up and not leaving.
    std::vector<model> models;
    std::vector<demand> demands;

    friend auto operator<=>(const placement_inputs&, const placement_inputs&) = default;
};

} // namespace ej::placement
