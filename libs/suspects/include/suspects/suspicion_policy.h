#pragma once

#include <suspects/evidence.h>
#include <suspects/verdict.h>

namespace ej::suspects {

/// Decides how a request may run, based on the deaths of endpoints that ran it. Stateless;
/// thread-safe.
class suspicion_policy {
public:
    virtual ~suspicion_policy() = default;

    /// Returns how a request with the evidence `known` may run.
    [[nodiscard]] virtual verdict evaluate(const evidence& known) const = 0;
};

} // namespace ej::suspects
