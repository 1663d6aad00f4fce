#pragma once

#include <forwarding/engine_profile.h>

#include <core/service_id.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace ej::forwarding {

/// What holds for every endpoint of a service.
struct service_profile {
    core::service_id name;
    std::uint32_t max_connections = 0; ///< From all daemons together to one endpoint; 0: no limit.
    std::optional<engine_profile> engine; ///< Set for model engines.

    friend auto operator<=>(const service_profile&, const service_profile&) = default;
};

} // namespace ej::forwarding
