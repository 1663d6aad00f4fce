#pragma once

#include <suspects/suspicion_policy.h>

#include <cstdint>

namespace ej::suspects {

/// Isolates a request after the first endpoint death. A death while the request ran alone has
/// weight 2, one while others ran too has weight 1. Refuses the request at a total of
/// `weight_to_refuse`.
class isolate_then_refuse_policy final : public suspicion_policy {
public:
    /// With the default, a request that was isolated after the first death is refused after three
    /// deaths, and one that never ran alone after five.
    explicit isolate_then_refuse_policy(std::uint32_t weight_to_refuse = 5)
        : weight_to_refuse_(weight_to_refuse)
    {
    }

    [[nodiscard]] verdict evaluate(const evidence& known) const override;

private:
    std::uint32_t weight_to_refuse_;
};

} // namespace ej::suspects
