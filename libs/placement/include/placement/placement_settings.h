#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::placement {

/// Thresholds and rate limits for changing the models of engines.
struct placement_settings {
    double grow_above = 0.8;   ///< Share of the replicas' throughput in demand; 0 to 1.
    double shrink_below = 0.5; ///< Share of the throughput left after a removal; < `grow_above`.
    /// A model stays on an engine for at least this time.
    core::duration min_placement_time = std::chrono::minutes(2);
    std::uint64_t store_megabytes_per_second = 1'000; ///< Limit of reads; > 0.
    std::uint64_t store_burst_megabytes = 20'000;     ///< > 0.

    friend auto operator<=>(const placement_settings&, const placement_settings&) = default;
};

} // namespace ej::placement
