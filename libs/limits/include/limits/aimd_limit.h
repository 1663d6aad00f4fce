#pragma once

#include <limits/limiter.h>

namespace ej::limits {

/// Additive increase, multiplicative decrease: raises the limit by one when it is fully used and
/// nothing waits; cuts it by a third when requests wait.
class aimd_limit final : public limiter {
public:
    [[nodiscard]] std::uint32_t next(std::uint32_t current, const endpoint_load& load,
                                     const daemon_share& share) const override;
};

} // namespace ej::limits
