#include <retry/retry_rules.h>

#include <algorithm>
#include <variant>

namespace ej::retry {

namespace {

// Work per token of a given prefix: an engine reads tokens much faster than it generates them.
constexpr double prefix_cost = 0.02;

} // namespace

double extra_work(const retry_request& asked)
{
    const auto* const lost = std::get_if<may_have_run>(&asked.lost);
    if (lost == nullptr) {
        return 0;
    }
    if (asked.kind == core::work_kind::generation) {
        return std::max(1.0, prefix_cost * lost->work_done);
    }
    return asked.work;
}

retry_verdict decide(const retry_request& asked, const token_bucket& bucket,
                     const budget_policy& budget, core::instant now)
{
    const bool ran = std::holds_alternative<may_have_run>(asked.lost);
    if (ran && asked.kind == core::work_kind::non_idempotent) {
        return retry_verdict::outcome_unknown;
    }
    if (now + asked.service_time > asked.finish_by) {
        return retry_verdict::past_deadline;
    }
    if (!budget.allows(bucket, extra_work(asked))) {
        return retry_verdict::out_of_budget;
    }
    return retry_verdict::retry;
}

} // namespace ej::retry
