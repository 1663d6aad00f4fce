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

/// One choice for each decision.
struct strategy {
    std::string name;
    std::function<std::unique_ptr<const routing::router>()> router;
    std::function<std::unique_ptr<const limits::limiter>()> limiter;
    std::shared_ptr<const admission::admission_policy> admission;
    std::shared_ptr<const fairness::share_policy> shares;
    std::function<std::unique_ptr<const retry::budget_policy>()> budget;
};

/// The product's choices first, then each of them replaced by one alternative, then all naive.
[[nodiscard]] std::vector<strategy> all_strategies();

} // namespace ej::measure
