#pragma once

#include <forwarding/engine_profile.h>

#include <core/service_id.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace ej::forwarding {

/// Properties shared by all endpoints of a service.
struct service_profile {
    core::service_id name;
    std::uint32_t max_connections = 0;    ///< To one endpoint, over all daemons; 0: no limit.
    std::optional<engine_profile> engine; ///< Set for model engines.

    friend auto operator<=>(const service_profile&, const service_profile&) = default;
};

} // namespace ej::forwarding
