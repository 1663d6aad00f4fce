#include <forwarding/step_after_silence.h>

#include <forwarding/attempt_end.h>
#include <forwarding/next_step.h>
#include <forwarding/retry_policy.h>

namespace ej::forwarding {

silence_step step_after_silence(const call_progress& progress, const route& by, bool other_engine)
{
    // A silent engine may go on, so its attempt is given up only for one that can follow.
    call_progress abandoned = progress;
    ++abandoned.sends;
    ++abandoned.runs;
    abandoned.may_have_run = true;
    abandoned.budget_left = true;
    const auto next = policy_for(by).after(attempt_end::silent, abandoned, by);
    const bool may_go_on = next == next_step::send_again || next == next_step::wait;
    return other_engine && may_go_on ? silence_step::move : silence_step::stay;
}

} // namespace ej::forwarding
