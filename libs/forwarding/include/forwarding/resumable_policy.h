#pragma once

#include <forwarding/call_policy.h>

namespace ej::forwarding {

/// Streams that go on at another endpoint behind the last event delivered.
class resumable_policy final : public call_policy {
public:
    [[nodiscard]] next_step after(attempt_end end, const call_progress& progress,
                                  const route& by) const override;
};

} // namespace ej::forwarding
