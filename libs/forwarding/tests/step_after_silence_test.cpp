#include <forwarding/step_after_silence.h>

#include <forwarding/attempt_end.h>
#include <forwarding/next_step.h>
#include <forwarding/retry_policy.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace ej::forwarding {

namespace {

route stream_route(bool resumable, std::uint32_t attempts)
{
    route made;
    made.kind = core::work_kind::generation;
    made.resumable = resumable;
    made.max_attempts = attempts;
    return made;
}

} // namespace

TEST_CASE("a silent engine is not abandoned for a stream that may not be sent again")
{
    const bool holds = rc::check([] {
        const auto by = stream_route(*rc::gen::arbitrary<bool>(), *rc::gen::inRange(1U, 6U));
        call_progress progress;
        progress.sends = *rc::gen::inRange(0U, 12U);
        progress.runs = *rc::gen::inRange(0U, progress.sends + 1);
        progress.unsent = *rc::gen::inRange(0U, 50U);
        progress.may_have_run = progress.runs > 0;
        progress.delivering = *rc::gen::arbitrary<bool>();
        progress.expired = *rc::gen::arbitrary<bool>();
        if (step_after_silence(progress, by, true) == silence_step::move) {
            ++progress.sends;
            ++progress.runs;
            progress.may_have_run = true;
            const auto next = policy_for(by).after(attempt_end::silent, progress, by);
            RC_ASSERT(next == next_step::send_again || next == next_step::wait);
        }
    });
    CHECK(holds);
}

TEST_CASE("a stream that was refused by many full engines may still leave a silent one")
{
    const auto by = stream_route(true, 5);
    call_progress progress;
    progress.sends = 20;
    progress.runs = 1;
    progress.may_have_run = progress.delivering = true;
    CHECK(step_after_silence(progress, by, true) == silence_step::move);
}

TEST_CASE("a stream leaves a silent engine only for another one")
{
    const auto by = stream_route(true, 2);
    CHECK(step_after_silence({}, by, true) == silence_step::move);
    CHECK(step_after_silence({}, by, false) == silence_step::stay);
    CHECK(step_after_silence({}, stream_route(true, 1), true) == silence_step::stay);
    CHECK(step_after_silence({}, stream_route(false, 2), true) == silence_step::stay);
}

} // namespace ej::forwarding
