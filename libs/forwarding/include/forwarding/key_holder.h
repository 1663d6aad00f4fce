#pragma once

#include <core/workspace_id.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace ej::forwarding {

/// The workspace that a caller's key belongs to.
struct key_holder {
    core::workspace_id workspace;
    std::optional<std::uint32_t> priority; ///< Overrides the route's priority.

    friend auto operator<=>(const key_holder&, const key_holder&) = default;
};

} // namespace ej::forwarding
