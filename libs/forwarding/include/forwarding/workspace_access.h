#pragma once

#include <core/workspace_id.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ej::forwarding {

/// A workspace with its keys and priority.
struct workspace_access {
    core::workspace_id name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the route's priority.

    friend auto operator<=>(const workspace_access&, const workspace_access&) = default;
};

} // namespace ej::forwarding
