#include <forwarding/retry_policy.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace ej::forwarding {

namespace {

route of_kind(core::work_kind kind, bool resumable = false, std::uint32_t attempts = 2)
{
    route made;
    made.kind = kind;
    made.resumable = resumable;
    made.max_attempts = attempts;
    return made;
}

attempt_end any_end()
{
    return static_cast<attempt_end>(*rc::gen::inRange(0, static_cast<int>(attempt_end_count)));
}

/// Runs one request through random attempt ends and checks each decision of the policy.
template <class Check>
void play(const route& by, Check check)
{
    call_progress progress;
    for (int step = 0; step < 200; ++step) {
        const auto end = any_end();
        ++(end == attempt_end::not_sent ? progress.unsent : progress.sends);
        progress.may_have_run = progress.may_have_run || may_have_run(end);
        progress.runs += may_have_run(end) ? 1 : 0;
        progress.expired = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
        progress.budget_left = *rc::gen::weightedElement<bool>({{9, true}, {1, false}});
        const auto next = policy_for(by).after(end, progress, by);
        check(end, progress, next);
        if (next != next_step::send_again) {
            return;
        }
    }
    RC_FAIL("the request was still being retried after 200 attempts");
}

} // namespace

TEST_CASE("a non-idempotent request is never retried once it may have run")
{
    const bool holds = rc::check([] {
        const auto by = *rc::gen::element(of_kind(core::work_kind::non_idempotent),
                                          of_kind(core::work_kind::generation));
        play(by, [](attempt_end, const call_progress& progress, next_step next) {
            if (next == next_step::send_again) {
                RC_ASSERT(!progress.may_have_run);
            }
        });
    });
    CHECK(holds);
}

TEST_CASE("a refused request has not run, and retries stay within attempts, deadline and budget")
{
    const bool holds = rc::check([] {
        const auto by = *rc::gen::element(of_kind(core::work_kind::non_idempotent),
                                          of_kind(core::work_kind::idempotent),
                                          of_kind(core::work_kind::generation, true, 5));
        play(by, [&](attempt_end, const call_progress& progress, next_step next) {
            if (next == next_step::refuse) {
                RC_ASSERT(!progress.may_have_run);
            }
            if (next == next_step::send_again) {
                RC_ASSERT(progress.runs < by.max_attempts);
                RC_ASSERT(!progress.expired);
                RC_ASSERT(progress.budget_left);
            }
        });
    });
    CHECK(holds);
}

TEST_CASE("a plain call passes an endpoint's error on only if no attempt is left")
{
    call_progress once{1, 0, 1, true, false, false, true};
    const auto read = of_kind(core::work_kind::idempotent);
    CHECK(policy_for(read).after(attempt_end::failed, once, read) == next_step::send_again);
    call_progress twice{2, 0, 2, true, false, false, true};
    CHECK(policy_for(read).after(attempt_end::failed, twice, read) == next_step::pass_failure);
    const auto act = of_kind(core::work_kind::non_idempotent);
    CHECK(policy_for(act).after(attempt_end::failed, once, act) == next_step::pass_failure);
    CHECK(policy_for(act).after(attempt_end::broken, once, act) == next_step::fail);
}

TEST_CASE("a stream is resumed while attempts are left, even after 12 failed connections")
{
    const auto by = of_kind(core::work_kind::generation, true, 5);
    const call_progress cut_off{1, 12, 1, true, true, false, true};
    CHECK(policy_for(by).after(attempt_end::not_sent, cut_off, by) == next_step::send_again);
    const call_progress spent{5, 0, 5, true, true, false, true};
    CHECK(policy_for(by).after(attempt_end::broken, spent, by) == next_step::fail);
}

} // namespace ej::forwarding
