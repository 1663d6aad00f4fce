#include <forwarding/resume_pause.h>

#include <forwarding/attempt_end.h>
#include <forwarding/next_step.h>
#include <forwarding/retry_policy.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <chrono>

namespace ej::forwarding {

TEST_CASE("a stream that was begun ends without its last event only if it may not run again")
{
    const bool holds = rc::check([] {
        route by;
        by.kind = core::work_kind::generation;
        by.resumable = true;
        by.max_attempts = *rc::gen::inRange(1U, 6U);
        const auto end =
            static_cast<attempt_end>(*rc::gen::inRange(0, static_cast<int>(attempt_end_count)));
        call_progress progress;
        progress.delivering = progress.may_have_run = true;
        progress.sends = *rc::gen::inRange(1U, 20U);
        progress.runs = *rc::gen::inRange(1U, 7U);
        progress.unsent = *rc::gen::inRange(0U, 60U);
        progress.expired = *rc::gen::arbitrary<bool>();
        progress.budget_left = *rc::gen::arbitrary<bool>();
        const auto next = policy_for(by).after(end, progress, by);
        const bool may_run = !progress.expired && progress.runs < by.max_attempts;
        RC_ASSERT((next == next_step::fail) == !may_run);
        RC_ASSERT(next != next_step::send_again || progress.budget_left);
    });
    CHECK(holds);
}

TEST_CASE("the pauses of a waiting stream never get shorter and stay under a second")
{
    for (std::uint32_t pauses = 0; pauses < 100; ++pauses) {
        CHECK(resume_pause(pauses) > std::chrono::milliseconds(0));
        CHECK(resume_pause(pauses) <= resume_pause(pauses + 1));
        CHECK(resume_pause(pauses) < std::chrono::seconds(1));
    }
}

} // namespace ej::forwarding
