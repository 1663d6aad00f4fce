#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::actions {

/// Bounds of the claims in the platform's store; the same at every daemon.
struct claim_limits {
    std::uint32_t buckets = 64;         ///< Values that the claims are spread over; from 1.
    std::size_t max_entries = 8'000;    ///< Claims in one value, which holds at most 1 MB.
    std::chrono::minutes retention{20}; ///< Least life of a claim; > longest_retry + 2 clock_skew.
    std::chrono::minutes longest_retry{10}; ///< Callers send a key for no longer than this.
    std::chrono::seconds clock_skew{60};    ///< Largest error of any VM's time of day.
    std::uint32_t max_failures = 2;         ///< Calls without an answer before claims are given up.
    std::uint32_t max_conflicts = 16;       ///< Lost races before claims are given up.
    std::chrono::milliseconds interval{40}; ///< Between two writes of one daemon, on average.
    std::uint32_t burst = 4;                ///< Writes that may go at once after a pause.

    friend auto operator<=>(const claim_limits&, const claim_limits&) = default;
};

} // namespace ej::actions
