#pragma once

#include <forwarding/retry_policy.h>

namespace ej::forwarding {

/// For resumable streams: continues at another endpoint after the last event delivered.
class resumable_policy final : public retry_policy {
public:
    [[nodiscard]] next_step after(attempt_end end, const call_progress& progress,
                                  const route& by) const override;
};

} // namespace ej::forwarding
