#pragma once

#include <suspects/evidence.h>
#include <suspects/verdict.h>

namespace ej::suspects {

/// Judges a request by the deaths of endpoints that ran it. Stateless and thread-safe.
class suspicion_policy {
public:
    virtual ~suspicion_policy() = default;

    /// How a request with `known` evidence may run.
    [[nodiscard]] virtual verdict judge(const evidence& known) const = 0;
};

} // namespace ej::suspects
