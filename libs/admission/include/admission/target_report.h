#pragma once

#include <core/class_id.h>
#include <core/instant.h>
#include <core/refusal_reason.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace ej::admission {

/// Whether a class meets its target at this daemon, with figures on its queue and requests.
struct target_report {
    core::class_id work_class;
    bool met = true;             ///< Turns false within seconds after requests miss the target.
    double missed_share = 0;     ///< Fraction of requests in the last 10 s; 0 to 1.
    core::duration oldest_age{}; ///< Age of the oldest waiting request; 0 if there is none.
    std::size_t waiting = 0;     ///< Number of waiting requests.
    double work_waiting = 0;     ///< Sum of their expected work.
    std::uint64_t on_time = 0;   ///< Requests finished within the target since the start.
    std::uint64_t late = 0;      ///< Requests finished after the target, since the start.
    std::array<std::uint64_t, core::refusal_reason_count>
        refused{}; ///< Refused requests by reason.

    friend auto operator<=>(const target_report&, const target_report&) = default;
};

} // namespace ej::admission
