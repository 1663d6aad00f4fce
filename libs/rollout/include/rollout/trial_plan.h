#pragma once

#include <rollout/rollout_limits.h>
#include <rollout/share.h>

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::rollout {

/// Times and shares of a roll-out's steps.
struct trial_plan {
    core::duration trial{};           ///< Length of the trial.
    share first = 0;                  ///< Share of the target in that time.
    share most = 0;                   ///< Bound on `first` whatever the rate of requests is.
    share later = 0;                  ///< Share of the target if the trial takes longer.
    std::uint64_t least_answers = 0;  ///< Answers of the target that end the trial.
    core::duration ramp_step{};       ///< The share doubles so often.
    core::duration latest_handover{}; ///< Since the order.

    friend auto operator<=>(const trial_plan&, const trial_plan&) = default;
};

/// The plan for an order that is to be complete within `time`. A trial uses a part of `limits`; the
/// rest is for a fault that shows later.
[[nodiscard]] trial_plan plan_for(core::duration time, const rollout_limits& limits,
                                  double requests_per_second);

} // namespace ej::rollout
