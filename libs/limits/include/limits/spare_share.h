#pragma once

#include <limits/limiter.h>

namespace ej::limits {

/// Guarantees each daemon its share of the slots and lends it a share of the idle ones.
class spare_share final : public limiter {
public:
    [[nodiscard]] std::uint32_t next(std::uint32_t current, const endpoint_load& load,
                                     const daemon_share& share) const override;
};

} // namespace ej::limits
