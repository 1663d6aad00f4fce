#pragma once

#include <limits/limiter.h>

namespace ej::limits {

/// Lets each daemon use all slots, as if there were no other daemons.
class fixed_limit final : public limiter {
public:
    [[nodiscard]] std::uint32_t next(std::uint32_t current, const endpoint_load& load,
                                     const daemon_share& share) const override;
};

} // namespace ej::limits
