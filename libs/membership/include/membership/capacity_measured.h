#pragma once

#include <membership/service_capacity.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// What this daemon knows of its failure domain's capacity.
struct capacity_measured {
    std::vector<service_capacity> capacities;

    friend auto operator<=>(const capacity_measured&, const capacity_measured&) = default;
};

} // namespace ej::membership
