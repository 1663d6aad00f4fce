#include "claiming_daemon.h"
#include "generators.h"
#include "naive_daemon.h"
#include "run_history.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace ej::actions::model {

namespace {

constexpr int histories = 4'000;
const std::string none;

// One daemon, one thread, one map: the first request of a key runs, the same one is told so again.
action_outcome naive_outcome(std::map<int, int>& first, const request& wanted)
{
    const int variant = first.try_emplace(wanted.key, wanted.variant).first->second;
    return variant == wanted.variant ? ran(action_result{200, "text/plain", "1"})
                                     : not_run(core::refusal_reason::key_conflict);
}

bool without_failure(const step& next)
{
    using enum operation;
    return next.what == deliver || next.what == submit || next.what == issue;
}

} // namespace

TEST_CASE("no history of failures runs an action twice or after a refusal")
{
    const auto result = check_histories(
        [](const history& steps) { RC_ASSERT(violation_by<claiming_daemon>(steps) == none); },
        histories);
    INFO(described(result));
    CHECK(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("a naive daemon that looks up, sends and retries breaks the promise")
{
    const auto result = check_histories(
        [](const history& steps) { RC_ASSERT(violation_by<naive_daemon>(steps) == none); },
        histories);
    CHECK(result.is<rc::detail::FailureResult>());
}

TEST_CASE("without failures the fleet answers as one map on one thread")
{
    const auto result = check_histories(
        [](const history& steps) {
            history calm;
            std::ranges::copy_if(steps, std::back_inserter(calm), without_failure);
            const auto fleet = played<claiming_daemon>(calm);
            for (const auto& [key, variants] : fleet->executions) {
                std::map<int, int> first{{key, variants.front()}};
                RC_ASSERT(variants.size() == 1U);
                for (const submitted& caller : fleet->callers) {
                    RC_ASSERT(caller.wanted.key != key ||
                              caller.heard == naive_outcome(first, caller.wanted));
                }
            }
            RC_ASSERT(std::ranges::all_of(fleet->callers, [](const submitted& caller) {
                return caller.heard && caller.heard->kind != outcome_kind::unknown;
            }));
        },
        histories);
    INFO(described(result));
    CHECK(result.is<rc::detail::SuccessResult>());
}

} // namespace ej::actions::model
