#pragma once

#include <fairness/share_policy.h>

namespace ej::fairness {

/// Serves the workspace whose requests took longest relative to their target.
class lateness_share final : public share_policy {
public:
    [[nodiscard]] double rank(const flow_usage& usage, const queued_request& head) const override;
};

} // namespace ej::fairness
