#pragma once

#include <fairness/claim.h>
#include <fairness/flow_usage.h>

namespace ej::fairness {

/// Orders the workspaces of a queue. Stateless and thread-safe.
class share_policy {
public:
    virtual ~share_policy() = default;

    /// The workspace with the lowest rank is served next; `head` is its oldest request.
    [[nodiscard]] virtual double rank(const flow_usage& usage, const claim& head) const = 0;
};

} // namespace ej::fairness
