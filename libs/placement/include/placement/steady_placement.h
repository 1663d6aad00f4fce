#pragma once

#include <placement/placement_settings.h>
#include <placement/placement_strategy.h>
#include <placement/token_bucket.h>

#include <optional>

namespace ej::placement {

/// Changes as little as the demand asks for: a replica is added above one share of the throughput
/// and taken away below a lower one, stays for a minimum time, and is loaded within the weight
/// store's rate. What engines have already is kept where it will do.
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
