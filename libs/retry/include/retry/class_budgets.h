#pragma once

#include <retry/budget_policy.h>
#include <retry/retry_request.h>
#include <retry/retry_verdict.h>
#include <retry/token_bucket.h>

#include <concurrency/sharded.h>
#include <core/class_id.h>
#include <core/work_target.h>

#include <memory>

namespace ej::retry {

/// Retry budgets of all classes at this daemon, with one lock per shard of classes. Thread-safe.
class class_budgets {
public:
    explicit class_budgets(std::unique_ptr<const budget_policy> policy);

    /// Records the first attempt of a request, which adds to the class's retry budget.
    void first_attempt(const core::class_id& name, const core::work_target& target, double work);

    /// Decides whether to retry; if so, spends the extra work from the budget.
    [[nodiscard]] retry_verdict request_retry(const core::class_id& name,
                                              const retry_request& asked, core::instant now);

private:
    std::unique_ptr<const budget_policy> policy_;
    concurrency::sharded<core::class_id, token_bucket> buckets_;
};

} // namespace ej::retry
