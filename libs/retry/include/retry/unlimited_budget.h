#pragma once

#include <retry/budget_policy.h>

namespace ej::retry {

/// Allows every retry.
class unlimited_budget final : public budget_policy {
public:
    [[nodiscard]] bool allows(const token_bucket& bucket, double work) const override;
};

} // namespace ej::retry
