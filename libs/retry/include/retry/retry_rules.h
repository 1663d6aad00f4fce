#pragma once

#include <retry/budget_policy.h>
#include <retry/retry_request.h>
#include <retry/retry_verdict.h>
#include <retry/token_bucket.h>

#include <core/instant.h>

namespace ej::retry {

/// Decides whether to retry, based on the request's kind, its deadline and the budget.
[[nodiscard]] retry_verdict decide(const retry_request& asked, const token_bucket& bucket,
                                   const budget_policy& budget, core::instant now);

/// Extra work of a retry: work that was done but not delivered has to be repeated.
[[nodiscard]] double extra_work(const retry_request& asked);

} // namespace ej::retry
