#pragma once

#include <fairness/share_policy.h>

namespace ej::fairness {

/// Serves the workspace that has received the least work, for max-min fair shares.
class max_min_share final : public share_policy {
public:
    [[nodiscard]] double rank(const flow_usage& usage, const queued_request& head) const override;
};

} // namespace ej::fairness
