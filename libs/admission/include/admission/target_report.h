#pragma once

#include <core/class_id.h>
#include <core/instant.h>
#include <core/refusal_reason.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::admission {

/// Whether a class meets its target at this daemon, and what waits.
struct target_report {
    core::class_id work_class;
    bool met = true;             ///< False within seconds once requests miss the target.
    double missed_share = 0;     ///< Of the last ten seconds' requests; 0 to 1.
    core::duration oldest_age{}; ///< Age of the oldest request that waits; 0 when none does.
    std::size_t waiting = 0;     ///< Requests that wait.
    double work_waiting = 0;     ///< Sum of their expected work.
    std::uint64_t on_time = 0;   ///< Requests finished within the target since the start.
    std::uint64_t late = 0;      ///< Requests finished after it.
    std::array<std::uint64_t, core::refusal_reason_count> refused{}; ///< By reason.

    friend auto operator<=>(const target_report&, const target_report&) = default;
};

} // namespace ej::admission
