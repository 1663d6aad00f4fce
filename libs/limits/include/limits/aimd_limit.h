#pragma once

#include <limits/limiter.h>

namespace ej::limits {

/// Adds one while the limit is used and nothing waits; cuts by a third when requests wait.
class aimd_limit final : public limiter {
public:
    [[nodiscard]] std::uint32_t next(std::uint32_t current, const endpoint_load& load,
                                     const daemon_share& share) const override;
};

} // namespace ej::limits
