#pragma once

#include <core/instant.h>

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::config {

/// Limits of one submission.
struct submission_limits {
    std::uint32_t max_attempts = 16;                            ///< Reads of the log; from 1.
    core::duration first_delay = std::chrono::milliseconds(10); ///< Before the second read; > 0.
    core::duration max_delay = std::chrono::milliseconds(500);  ///< Between reads; >= first.

    friend auto operator<=>(const submission_limits&, const submission_limits&) = default;
};

} // namespace ej::config
