#pragma once

#include <suspects/suspicion_policy.h>
#include <suspects/suspicion_weights.h>

namespace ej::suspects {

/// Isolates a request after the first endpoint death, and refuses it once its deaths weigh enough.
class isolate_then_refuse_policy final : public suspicion_policy {
public:
    /// With the default, a request that was isolated after the first death is refused after three
    /// deaths, and one that never ran alone after five.
    explicit isolate_then_refuse_policy(const suspicion_weights& weights = {}) : weights_(weights)
    {
    }

    [[nodiscard]] verdict evaluate(const evidence& known) const override;

private:
    suspicion_weights weights_;
};

} // namespace ej::suspects
