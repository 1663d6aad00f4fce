#include <forwarding/store_query_plan.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <chrono>

namespace ej::forwarding {

namespace {

using namespace std::chrono_literals;

constexpr auto shortest = 1s;

/// A plan that follows changes, with no late answer so far.
store_query_plan following()
{
    return store_query_plan(shortest).after(store_result::complete, 10ms);
}

/// The result of a query to a store that begins to answer after `delay`.
store_query_plan ask(const store_query_plan& plan, core::duration delay)
{
    return delay < plan.answer_within() ? plan.after(store_result::complete, delay)
                                        : plan.after(store_result::late, plan.answer_within());
}

} // namespace

TEST_CASE("a daemon lists the store first and again after compacted or too large changes")
{
    CHECK(store_query_plan(shortest).next() == store_query::listing);
    CHECK(following().next() == store_query::changes);
    CHECK(following().after(store_result::compacted, 0s).next() == store_query::listing);
    CHECK(following().after(store_result::too_large, 0s).next() == store_query::listing);
    CHECK(following().after(store_result::unreachable, 0s) == following());
}

TEST_CASE("one late answer is asked for again in the same way and within the same time")
{
    const auto once = following().after(store_result::late, shortest);
    CHECK(once.next() == store_query::changes);
    CHECK(once.answer_within() == shortest);
}

TEST_CASE("an answer that is late again is not asked for in the same way without an end")
{
    auto plan = following().after(store_result::late, shortest);
    plan = plan.after(store_result::late, shortest);
    CHECK(plan.next() == store_query::listing);
    CHECK(plan.answer_within() == 2 * shortest);
}

TEST_CASE(
    "a store that answers late each time is followed after some failures without further ones")
{
    const auto delay = GENERATE(1'100ms, 2'500ms, 2'900ms);
    auto plan = following();
    for (int query = 0; query < 5; ++query) {
        plan = ask(plan, delay);
    }
    for (int query = 0; query < 20; ++query) {
        CHECK(plan.answer_within() > delay);
        plan = ask(plan, delay);
        CHECK(plan.next() == store_query::changes);
    }
}

TEST_CASE("once the store answers in time again, a silent one is noticed as early as before")
{
    auto plan = following();
    for (int query = 0; query < 9; ++query) {
        plan = plan.after(store_result::late, plan.answer_within());
    }
    for (int query = 0; query < 3; ++query) {
        plan = plan.after(store_result::complete, 10ms);
    }
    CHECK(plan == following());
}

TEST_CASE("the wait for an answer stays within its bounds")
{
    rc::prop("for any results", [] {
        store_query_plan plan(shortest);
        for (int query = 0; query < 30; ++query) {
            const auto result = *rc::gen::element(store_result::complete, store_result::compacted,
                                                  store_result::too_large, store_result::late,
                                                  store_result::unreachable);
            plan = plan.after(result, 1ms * *rc::gen::inRange(0, 20'000));
            RC_ASSERT(plan.answer_within() >= shortest);
            RC_ASSERT(plan.answer_within() <= 3 * shortest);
        }
    });
}

} // namespace ej::forwarding
