#pragma once

#include <retry/token_bucket.h>

namespace ej::retry {

/// Bounds the work that attempts after the first may cost. Stateless and thread-safe.
class budget_policy {
public:
    virtual ~budget_policy() = default;

    /// True if an attempt of `work` fits the budget.
    [[nodiscard]] virtual bool allows(const token_bucket& bucket, double work) const = 0;
};

} // namespace ej::retry
