#pragma once

#include <retry/budget_policy.h>

namespace ej::retry {

/// Allows retries up to the budget that the class's first attempts have earned.
class earned_budget final : public budget_policy {
public:
    [[nodiscard]] bool allows(const token_bucket& bucket, double work) const override;
};

} // namespace ej::retry
