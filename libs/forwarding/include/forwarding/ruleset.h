#pragma once

#include <forwarding/caller_limits.h>
#include <forwarding/route.h>
#include <forwarding/service_profile.h>
#include <forwarding/workspace_access.h>

#include <core/revision.h>

#include <compare>
#include <optional>
#include <vector>

namespace ej::forwarding {

/// The operators' complete configuration of forwarding.
struct ruleset {
    core::revision version; ///< Increases with each change.
    std::vector<route> routes;
    std::vector<service_profile> services;
    caller_limits limits;
    /// If unset, callers need no key.
    std::optional<std::vector<workspace_access>> workspaces;

    friend auto operator<=>(const ruleset&, const ruleset&) = default;
};

} // namespace ej::forwarding
