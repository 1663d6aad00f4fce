#pragma once

#include <fairness/flow_usage.h>
#include <fairness/queued_request.h>

namespace ej::fairness {

/// Determines the order in which a queue serves its workspaces. Stateless and thread-safe.
class share_policy {
public:
    virtual ~share_policy() = default;

    /// Sort key of a workspace: the lowest is served next. `head` is the workspace's oldest
    /// request.
    [[nodiscard]] virtual double rank(const flow_usage& usage,
                                      const queued_request& head) const = 0;
};

} // namespace ej::fairness
