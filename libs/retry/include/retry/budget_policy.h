#pragma once

#include <retry/token_bucket.h>

namespace ej::retry {

/// Limits the work spent on retries. Stateless and thread-safe.
class budget_policy {
public:
    virtual ~budget_policy() = default;

    /// True if the budget allows a retry that costs `work`.
    [[nodiscard]] virtual bool allows(const token_bucket& bucket, double work) const = 0;
};

} // namespace ej::retry
