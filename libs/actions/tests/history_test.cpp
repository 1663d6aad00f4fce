#include "claiming_daemon.h"
#include "generators.h"
#include "naive_daemon.h"
#include "run_history.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace ej::actions::model {

namespace {

constexpr int histories = 4'000;
const std::string no_violation;

// Reference model, a map in one thread: the first request of a key runs, a repeat of it gets the
// same outcome.
action_outcome reference_outcome(std::map<int, int>& first, const request& wanted)
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

TEST_CASE("no history of failures makes an action run twice or after the answer 'not run'")
{
    const auto result = check_histories(
        [](const history& steps) {
            RC_ASSERT(violation_by<claiming_daemon>(steps) == no_violation);
        },
        histories);
    INFO(described(result));
    CHECK(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("a naive daemon that looks up, sends and retries violates the guarantees")
{
    const auto result = check_histories(
        [](const history& steps) { RC_ASSERT(violation_by<naive_daemon>(steps) == no_violation); },
        histories);
    CHECK(result.is<rc::detail::FailureResult>());
}

TEST_CASE("without failures, the fleet answers like a map in one thread")
{
    const auto result = check_histories(
        [](const history& steps) {
            history fault_free;
            std::ranges::copy_if(steps, std::back_inserter(fault_free), without_failure);
            const auto fleet = played<claiming_daemon>(fault_free);
            for (const auto& [key, variants] : fleet->executions) {
                std::map<int, int> first{{key, variants.front()}};
                RC_ASSERT(variants.size() == 1U);
                for (const submitted& caller : fleet->callers) {
                    RC_ASSERT(caller.wanted.key != key ||
                              caller.received == reference_outcome(first, caller.wanted));
                }
            }
            RC_ASSERT(std::ranges::all_of(fleet->callers, [](const submitted& caller) {
                return caller.received && caller.received->kind != outcome_kind::unknown;
            }));
        },
        histories);
    INFO(described(result));
    CHECK(result.is<rc::detail::SuccessResult>());
}

} // namespace ej::actions::model
