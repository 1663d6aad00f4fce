#include <forwarding/at_most_once_policy.h>
#include <forwarding/idempotent_policy.h>
#include <forwarding/resumable_policy.h>
#include <forwarding/retry_policy.h>

namespace ej::forwarding {

namespace {

// Most sends of one request, including those that certainly did not run. If more than three
// endpoints in a row are full or gone, the whole service is.
constexpr std::uint32_t max_sends = 4;
// Failed connection attempts cost the endpoints nothing; this limit only ends the search when all
// endpoints are unreachable.
constexpr std::uint32_t max_unsent = 6;
constexpr std::uint32_t max_unsent_stream = 40;

/// The step for a request that cannot be retried, depending on whether it may have run.
next_step give_up(const call_progress& progress)
{
    return progress.may_have_run || progress.delivering ? next_step::fail : next_step::refuse;
}

bool may_send(const call_progress& progress, std::uint32_t most, std::uint32_t most_unsent)
{
    return !progress.expired && progress.budget_left && progress.sends < most &&
           progress.unsent < most_unsent;
}

} // namespace

next_step at_most_once_policy::after(attempt_end end, const call_progress& progress,
                                     const route&) const
{
    if (end == attempt_end::failed) {
        return next_step::pass_failure;
    }
    if (!progress.may_have_run && may_send(progress, max_sends, max_unsent)) {
        return next_step::send_again;
    }
    return give_up(progress);
}

next_step idempotent_policy::after(attempt_end end, const call_progress& progress,
                                   const route& by) const
{
    if (may_send(progress, max_sends, max_unsent) && progress.runs < by.max_attempts) {
        return next_step::send_again;
    }
    return end == attempt_end::failed ? next_step::pass_failure : give_up(progress);
}

next_step resumable_policy::after(attempt_end end, const call_progress& progress,
                                  const route& by) const
{
    const bool may_run = !progress.expired && progress.runs < by.max_attempts;
    // Sends that certainly did not run come on top of the route's attempts.
    if (may_run && may_send(progress, by.max_attempts + max_sends, max_unsent_stream)) {
        return next_step::send_again;
    }
    if (may_run && progress.delivering) {
        return next_step::wait;
    }
    if (end == attempt_end::failed && !progress.delivering) {
        return next_step::pass_failure;
    }
    return give_up(progress);
}

const retry_policy& policy_for(const route& by)
{
    static const at_most_once_policy single;
    static const idempotent_policy repeatable;
    static const resumable_policy resumable;
    if (by.kind == core::work_kind::idempotent) {
        return repeatable;
    }
    if (by.kind == core::work_kind::generation && by.resumable) {
        return resumable;
    }
    return single;
}

} // namespace ej::forwarding
