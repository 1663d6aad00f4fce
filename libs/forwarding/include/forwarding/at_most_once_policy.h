#pragma once

#include <forwarding/retry_policy.h>

namespace ej::forwarding {

/// For requests that must not run twice: retries only if the request certainly has not run.
class at_most_once_policy final : public retry_policy {
public:
    [[nodiscard]] next_step after(attempt_end end, const call_progress& progress,
                                  const route& by) const override;
};

} // namespace ej::forwarding
