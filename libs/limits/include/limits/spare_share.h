#pragma once

#include <limits/limiter.h>

namespace ej::limits {

/// Guarantees each daemon its part and lends it a part of what is idle.
class spare_share final : public limiter {
public:
    [[nodiscard]] std::uint32_t next(std::uint32_t current, const endpoint_load& load,
                                     const daemon_share& share) const override;
};

} // namespace ej::limits
