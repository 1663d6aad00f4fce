#pragma once

#include <compare>
#include <cstdint>

namespace ej::rollout {

/// Slots of the endpoints of a service that may receive requests.
struct version_room {
    std::uint64_t target = 0; ///< Of the target version.
    std::uint64_t others = 0; ///< Of all other versions.

    friend auto operator<=>(const version_room&, const version_room&) = default;
};

} // namespace ej::rollout
