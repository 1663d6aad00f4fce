#pragma once

#include <limits/limiter.h>

namespace ej::limits {

/// Gives each daemon its share of the slots, whether used or not.
class equal_share final : public limiter {
public:
    [[nodiscard]] std::uint32_t next(std::uint32_t current, const endpoint_load& load,
                                     const daemon_share& share) const override;
};

} // namespace ej::limits
