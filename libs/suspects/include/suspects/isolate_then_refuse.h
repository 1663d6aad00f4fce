#pragma once

#include <suspects/suspicion_policy.h>

namespace ej::suspects {

/// Isolates a request after its first death; refuses it after two more that it had to itself, or
/// after five in company.
class isolate_then_refuse final : public suspicion_policy {
public:
    [[nodiscard]] verdict judge(const evidence& known) const override;
};

} // namespace ej::suspects
