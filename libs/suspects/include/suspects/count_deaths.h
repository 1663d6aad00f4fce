#pragma once

#include <suspects/suspicion_policy.h>

namespace ej::suspects {

/// Refuses a request after its second death, whatever ran beside it.
class count_deaths final : public suspicion_policy {
public:
    [[nodiscard]] verdict judge(const evidence& known) const override;
};

} // namespace ej::suspects
