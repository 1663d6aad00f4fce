#pragma once

#include <forwarding/retry_policy.h>

namespace ej::forwarding {

/// For idempotent requests: retries until as many attempts as the route allows may have run.
class idempotent_policy final : public retry_policy {
public:
    [[nodiscard]] next_step after(attempt_end end, const call_progress& progress,
                                  const route& by) const override;
};

} // namespace ej::forwarding
