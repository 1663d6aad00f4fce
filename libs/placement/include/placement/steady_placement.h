#pragma once

#include <placement/placement_settings.h>
#include <placement/placement_strategy.h>
#include <placement/token_bucket.h>

#include <optional>

namespace ej::placement {

/// Adapts the plan with hysteresis: a replica is added when demand exceeds one share of the
/// throughput and removed when it falls below a lower share. A replica stays for a minimum time,
/// and loading is limited to the weight store's rate. Models that are already loaded are reused.
class steady_placement final : public placement_strategy {
public:
    explicit steady_placement(placement_settings settings = {});

    [[nodiscard]] plan next(const plan& before, const placement_inputs& inputs,
                            core::instant now) override;

private:
    void adopt(plan& next, const placement_inputs& inputs, core::instant now) const;
    void shrink(plan& next, const placement_inputs& inputs, core::instant now) const;
    void grow(plan& next, const placement_inputs& inputs, core::instant now);
    bool add_replica(plan& next, const placement_inputs& inputs, const model& desired,
                     core::instant now);

    placement_settings settings_;
    token_bucket store_;
};

} // namespace ej::placement
