#pragma once

#include <core/instant.h>
#include <core/revision.h>

#include <compare>
#include <optional>

namespace ej::config {

/// How current the configuration of one daemon is.
struct follower_status {
    core::revision in_force;
    core::revision newest_known;               ///< Highest revision reported by any source.
    std::optional<core::duration> contact_age; ///< Since the last platform contact; none: never.
    bool ready = false;           ///< A configuration is in force; peers had time to answer.
    bool watching = false;        ///< This daemon watches the platform itself.
    bool behind = false;          ///< A newer revision is known, or contact is too old.
    bool platform_behind = false; ///< The platform's service holds older data than this daemon.
    bool diverged = false;        ///< A different history of the same length was seen.

    friend auto operator<=>(const follower_status&, const follower_status&) = default;
};

} // namespace ej::config
