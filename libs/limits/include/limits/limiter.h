#pragma once

#include <limits/daemon_share.h>
#include <limits/endpoint_load.h>

#include <cstdint>

namespace ej::limits {

/// Decides how many requests one daemon may have in flight at one endpoint. Stateless and
/// thread-safe.
class limiter {
public:
    virtual ~limiter() = default;

    /// The new limit after `load` was reported; `current` is the previous limit. 0 to `load.slots`.
    [[nodiscard]] virtual std::uint32_t next(std::uint32_t current, const endpoint_load& load,
                                             const daemon_share& share) const = 0;
};

} // namespace ej::limits
