#pragma once

#include <fairness/claim.h>
#include <fairness/flow_usage.h>

namespace ej::fairness {

/// Determines the order in which a queue serves its workspaces. Stateless and thread-safe.
class share_policy {
public:
    virtual ~share_policy() = default;

    /// Sort key of a workspace: the lowest is served next. `head` is the workspace's oldest
    /// request.
    [[nodiscard]] virtual double rank(const flow_usage& usage, const claim& head) const = 0;
};

} // namespace ej::fairness
