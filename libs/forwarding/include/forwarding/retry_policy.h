#pragma once

#include <forwarding/attempt_end.h>
#include <forwarding/call_progress.h>
#include <forwarding/next_step.h>
#include <forwarding/route.h>

namespace ej::forwarding {

/// Decides whether a request of one kind is retried. Stateless and thread-safe.
class retry_policy {
public:
    retry_policy() = default;
    virtual ~retry_policy() = default;
    retry_policy(const retry_policy&) = delete;
    retry_policy& operator=(const retry_policy&) = delete;
    retry_policy(retry_policy&&) = delete;
    retry_policy& operator=(retry_policy&&) = delete;

    /// The next step after an attempt ended with `end`; `progress` already includes that attempt.
    [[nodiscard]] virtual next_step after(attempt_end end, const call_progress& progress,
                                          const route& by) const = 0;
};

/// The policy for requests on route `by`.
[[nodiscard]] const retry_policy& policy_for(const route& by);

} // namespace ej::forwarding
