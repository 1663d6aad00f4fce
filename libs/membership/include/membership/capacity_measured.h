#pragma once

#include <membership/service_capacity.h>

#include <compare>
#include <vector>

namespace ej::membership {

/// Event: the capacity of this failure domain, as known to this daemon, was measured.
struct capacity_measured {
    std::vector<service_capacity> capacities;

    friend auto operator<=>(const capacity_measured&, const capacity_measured&) = default;
};

} // namespace ej::membership
