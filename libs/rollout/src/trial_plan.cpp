#include <rollout/trial_plan.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ej::rollout {

namespace {

// Parts of the order's time. Generations take seconds, so the hand-over gets most of it.
constexpr double trial_part = 0.4;
constexpr double ramp_step_part = 0.05;
constexpr double handover_part = 0.9;

// Of the limits, what the trial may use; the rest is for a fault that shows later.
constexpr double trial_of_limits = 0.7;
// The rate of requests is an estimate that may be too low after a start.
constexpr double most_in_trial = 0.35;

// A version that fails one in five times has failed four of so many.
constexpr double enough_answers = 20;
// The rest of the expected answers may be on the way when the trial ends.
constexpr double answered_part = 0.4;

core::duration part_of(core::duration whole, double part)
{
    return core::duration(static_cast<core::duration::rep>(double(whole.count()) * part));
}

share in_thousandths(double fraction)
{
    return static_cast<share>(std::floor(std::clamp(fraction, 0.0, 1.0) * double(whole_share)));
}

} // namespace

trial_plan plan_for(core::duration time, const rollout_limits& limits, double requests_per_second)
{
    trial_plan made;
    made.trial = part_of(time, trial_part);
    made.ramp_step = part_of(time, ramp_step_part);
    made.latest_handover = part_of(time, handover_part);
    const double later = trial_of_limits * limits.share;
    const double in_trial = requests_per_second * std::chrono::duration<double>(made.trial).count();
    // Nothing is known of the load without a request.
    const double extra = in_trial > 0 ? trial_of_limits * limits.requests / in_trial : 0;
    const double first = std::min(later + extra, std::max(most_in_trial, later));
    made.first = in_thousandths(first);
    made.most = in_thousandths(most_in_trial);
    made.later = in_thousandths(later);
    made.least_answers = static_cast<std::uint64_t>(
        std::clamp(answered_part * first * in_trial, 1.0, enough_answers));
    return made;
}

} // namespace ej::rollout
