#pragma once

#include <core/workspace_id.h>

#include <compare>
#include <cstdint>

namespace ej::config {

/// A workspace and its guaranteed share of the fleet.
struct workspace {
    core::workspace_id name;
    std::uint32_t share_ppm = 0; ///< Parts per million of the fleet; 0 to 1000000.

    friend auto operator<=>(const workspace&, const workspace&) = default;
};

} // namespace ej::config
