#include <retry/class_budgets.h>

#include <retry/retry_rules.h>

#include <algorithm>
#include <utility>

namespace ej::retry {

namespace {

constexpr double percent = 0.01;

// Capacity of a class's budget, in requests' worth of extra work.
constexpr double max_saved_requests = 20;

token_bucket adjusted(const token_bucket& bucket, const core::work_target& target, double work)
{
    const double fraction = percent * target.extra_work_percent;
    const double capacity = fraction > 0 ? std::max(bucket.capacity, max_saved_requests * work) : 0;
    // A class starts with the work of one attempt, so that its first failure can be retried.
    const double level = bucket.capacity == 0 ? work : bucket.level;
    return {fraction, capacity, std::min(level, capacity)};
}

} // namespace

class_budgets::class_budgets(std::unique_ptr<const budget_policy> policy)
    : policy_(std::move(policy))
{
}

void class_budgets::first_attempt(const core::class_id& name, const core::work_target& target,
                                  double work)
{
    buckets_.with(name, [&](auto& buckets) {
        token_bucket& bucket = buckets[name];
        bucket = adjusted(bucket, target, work).earned(work);
    });
}

retry_verdict class_budgets::request_retry(const core::class_id& name, const retry_request& asked,
                                           core::instant now)
{
    return buckets_.with(name, [&](auto& buckets) {
        token_bucket& bucket = buckets[name];
        const retry_verdict verdict = decide(asked, bucket, *policy_, now);
        if (verdict == retry_verdict::retry) {
            bucket = bucket.spent(extra_work(asked));
        }
        return verdict;
    });
}

} // namespace ej::retry
