#pragma once

#include <core/instant.h>
#include <core/revision.h>

#include <compare>
#include <optional>

namespace ej::config {

/// How far one daemon is with the configuration.
struct follower_status {
    core::revision in_force;
    core::revision newest_known;               ///< Highest revision heard of from anyone.
    std::optional<core::duration> contact_age; ///< Since the platform was heard of; none: never.
    bool ready = false;           ///< A configuration is in force and peers had time to answer.
    bool watching = false;        ///< This daemon watches the platform itself.
    bool behind = false;          ///< A newer revision is known, or contact is too long ago.
    bool platform_behind = false; ///< The platform's service holds older data than this daemon.
    bool diverged = false;        ///< Another history of the same length was seen.

    friend auto operator<=>(const follower_status&, const follower_status&) = default;
};

} // namespace ej::config
