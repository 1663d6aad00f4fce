#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::placement {

/// Bounds on how fast and how often engines are given other models.
struct placement_settings {
    double grow_above = 0.8;   ///< Share of the replicas' throughput that is asked for; 0 to 1.
    double shrink_below = 0.5; ///< Of the throughput that would be left; below `grow_above`.
    core::duration min_placement_time =
        std::chrono::minutes(2);                      ///< A model stays on an engine as long.
    std::uint64_t store_megabytes_per_second = 1'000; ///< Of the weight store; > 0.
    std::uint64_t store_burst_megabytes = 20'000;     ///< > 0.

    friend auto operator<=>(const placement_settings&, const placement_settings&) = default;
};

} // namespace ej::placement
