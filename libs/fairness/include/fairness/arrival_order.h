#pragma once

#include <fairness/share_policy.h>

namespace ej::fairness {

/// Serves the oldest request first, regardless of its workspace.
class arrival_order final : public share_policy {
public:
    [[nodiscard]] double rank(const flow_usage& usage, const queued_request& head) const override;
};

} // namespace ej::fairness
