#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::actions {

/// Limits for claims in the platform's store. All daemons must use the same values.
struct claim_limits {
    std::uint32_t buckets = 64;         ///< Number of values that hold claims; at least 1.
    std::size_t max_entries = 8'000;    ///< Claims in one value; a value holds at most 1 MB.
    std::chrono::minutes retention{20}; ///< Minimum claim lifetime; > longest_retry + 2 clock_skew.
    std::chrono::minutes longest_retry{10}; ///< Callers retry a key for at most this long.
    std::chrono::seconds clock_skew{60};    ///< Maximum error of any VM's time of day.
    std::uint32_t max_failures = 2;   ///< Consecutive calls without an answer; then claims fail.
    std::uint32_t max_conflicts = 16; ///< Consecutive write conflicts; then claims fail.
    std::chrono::milliseconds interval{40}; ///< Average time between writes of one daemon.
    std::uint32_t burst = 4;                ///< Writes allowed without delay after an idle period.

    friend auto operator<=>(const claim_limits&, const claim_limits&) = default;
};

} // namespace ej::actions
