#pragma once

#include <admission/admission_policy.h>
#include <fairness/share_policy.h>
#include <limits/limiter.h>
#include <retry/budget_policy.h>
#include <routing/router.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ej::measure {

/// One policy for each decision: routing, limit, admission, fairness and retry budget.
struct strategy {
    std::string name;
    std::function<std::unique_ptr<const routing::router>()> router;
    std::function<std::unique_ptr<const limits::limiter>()> limiter;
    std::shared_ptr<const admission::admission_policy> admission;
    std::shared_ptr<const fairness::share_policy> shares;
    std::function<std::unique_ptr<const retry::budget_policy>()> budget;
};

/// The product's policies; then the product with one policy replaced by an alternative; then
/// combinations of naive policies only.
[[nodiscard]] std::vector<strategy> all_strategies();

} // namespace ej::measure
