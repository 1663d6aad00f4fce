#include <retry/class_budgets.h>
#include <retry/earned_budget.h>
#include <retry/unlimited_budget.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>

namespace ej::retry {

namespace {

using namespace std::chrono_literals;

const core::class_id name("c");

retry_request lost(core::work_kind kind, lost_attempt how, double work = 1)
{
    return {kind, how, work, core::instant{60s}, 1s};
}

// Number of retries for 2,000 requests if every attempt fails after it may have run.
template <class Policy>
int retries_when_all_are_slow()
{
    class_budgets budgets(std::make_unique<Policy>());
    constexpr int requests = 2'000;
    constexpr int most_attempts = 4;
    int retries = 0;
    for (int request = 0; request < requests; ++request) {
        budgets.first_attempt(name, {}, 1);
        int tries = 1;
        const auto asked = lost(core::work_kind::idempotent, may_have_run{});
        while (tries < most_attempts &&
               budgets.request_retry(name, asked, core::instant{}) == retry_verdict::retry) {
            ++tries;
        }
        retries += tries - 1;
    }
    return retries;
}

} // namespace

TEST_CASE("a non-idempotent request that may have run is never retried")
{
    class_budgets budgets(std::make_unique<unlimited_budget>());
    budgets.first_attempt(name, {}, 100);
    const auto verdict_of = [&](lost_attempt how) {
        return budgets.request_retry(name, lost(core::work_kind::non_idempotent, how),
                                     core::instant{});
    };
    CHECK(verdict_of(may_have_run{}) == retry_verdict::outcome_unknown);
    CHECK(verdict_of(not_run{}) == retry_verdict::retry);
}

TEST_CASE("the extra work of a class stays within its target's percentage plus one request")
{
    rc::prop("for any mix of first attempts and failures", [] {
        class_budgets budgets(std::make_unique<earned_budget>());
        core::work_target target;
        target.extra_work_percent = *rc::gen::inRange<std::uint32_t>(0, 101);
        double first = 0;
        double extra = 0;
        double credit = 0;
        for (int event = 0; event < 100; ++event) {
            const double work = *rc::gen::inRange(1, 50);
            if (*rc::gen::arbitrary<bool>()) {
                budgets.first_attempt(name, target, work);
                credit = first == 0 ? work : credit;
                first += work;
            }
            else if (budgets.request_retry(name,
                                           lost(core::work_kind::idempotent, may_have_run{}, work),
                                           core::instant{}) == retry_verdict::retry) {
                extra += work;
            }
            RC_ASSERT(extra <= first * target.extra_work_percent * 0.01 + credit + 1e-6);
        }
    });
}

TEST_CASE("the retry budget bounds retries when every attempt fails")
{
    CHECK(retries_when_all_are_slow<earned_budget>() == 101);
    CHECK(retries_when_all_are_slow<unlimited_budget>() == 6'000);
}

TEST_CASE("a retry that would end after the deadline is not made")
{
    class_budgets budgets(std::make_unique<unlimited_budget>());
    budgets.first_attempt(name, {}, 1);
    const auto asked = lost(core::work_kind::idempotent, not_run{});
    CHECK(budgets.request_retry(name, asked, core::instant{59s}) == retry_verdict::retry);
    CHECK(budgets.request_retry(name, asked, core::instant{59s + 1ms}) ==
          retry_verdict::past_deadline);
}

} // namespace ej::retry
