#pragma once

#include <fairness/share_policy.h>

namespace ej::fairness {

/// Serves the workspace that has had least: max-min fair shares of the work.
class max_min_share final : public share_policy {
public:
    [[nodiscard]] double rank(const flow_usage& usage, const claim& head) const override;
};

} // namespace ej::fairness
