#pragma once

#include <core/workspace_id.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ej::forwarding {

/// A workspace, the keys that stand for it, and its urgency.
struct workspace_access {
    core::workspace_id name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before the route's.

    friend auto operator<=>(const workspace_access&, const workspace_access&) = default;
};

} // namespace ej::forwarding
