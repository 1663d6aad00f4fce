#include "strategy.h"

#include <admission/bounded_length.h>
#include <admission/predicted_finish.h>
#include <admission/unbounded.h>
#include <fairness/arrival_order.h>
#include <fairness/lateness_share.h>
#include <fairness/max_min_share.h>
#include <limits/aimd_limit.h>
#include <limits/equal_share.h>
#include <limits/fixed_limit.h>
#include <limits/spare_share.h>
#include <retry/earned_budget.h>
#include <retry/unlimited_budget.h>
#include <routing/least_loaded.h>
#include <routing/round_robin.h>
#include <routing/two_choices.h>

namespace ej::measure {

namespace {

template <class Interface, class Implementation>
std::unique_ptr<const Interface> make()
{
    return std::make_unique<Implementation>();
}

strategy named(strategy base, std::string name)
{
    base.name = std::move(name);
    return base;
}

strategy product()
{
    return {"product",
            make<routing::router, routing::two_choices>,
            make<limits::limiter, limits::spare_share>,
            std::make_shared<admission::predicted_finish>(),
            std::make_shared<fairness::max_min_share>(),
            make<retry::budget_policy, retry::earned_budget>};
}

strategy naive(std::string name, std::shared_ptr<const admission::admission_policy> admission)
{
    return {std::move(name),
            make<routing::router, routing::least_loaded>,
            make<limits::limiter, limits::fixed_limit>,
            std::move(admission),
            std::make_shared<fairness::arrival_order>(),
            make<retry::budget_policy, retry::unlimited_budget>};
}

} // namespace

std::vector<strategy> all_strategies()
{
    std::vector<strategy> all;
    const auto variant = [&](const char* name) -> strategy& {
        return all.emplace_back(named(product(), name));
    };
    variant("product");
    variant("router: round robin").router = make<routing::router, routing::round_robin>;
    variant("router: least loaded").router = make<routing::router, routing::least_loaded>;
    variant("limit: fixed").limiter = make<limits::limiter, limits::fixed_limit>;
    variant("limit: equal shares").limiter = make<limits::limiter, limits::equal_share>;
    variant("limit: AIMD").limiter = make<limits::limiter, limits::aimd_limit>;
    variant("queue: bounded").admission = std::make_shared<admission::bounded_length>();
    variant("queue: unbounded").admission = std::make_shared<admission::unbounded>();
    variant("shares: arrival").shares = std::make_shared<fairness::arrival_order>();
    variant("shares: lateness").shares = std::make_shared<fairness::lateness_share>();
    variant("retry: no budget").budget = make<retry::budget_policy, retry::unlimited_budget>;
    all.push_back(naive("naive, bounded", std::make_shared<admission::bounded_length>()));
    all.push_back(naive("naive, unbounded", std::make_shared<admission::unbounded>()));
    return all;
}

} // namespace ej::measure
