#pragma once

#include <suspects/suspicion_policy.h>

namespace ej::suspects {

/// Runs every request.
class always_run_policy final : public suspicion_policy {
public:
    [[nodiscard]] verdict evaluate(const evidence& known) const override;
};

} // namespace ej::suspects
