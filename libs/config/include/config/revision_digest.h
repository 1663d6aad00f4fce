#pragma once

#include <config/history_digest.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>
#include <optional>

namespace ej::config {

/// What one daemon has in force, told to others periodically.
struct revision_digest {
    core::revision revision;
    history_digest history;
    std::optional<core::duration> contact_age; ///< Since the platform's service was last heard of.

    friend auto operator<=>(const revision_digest&, const revision_digest&) = default;
};

} // namespace ej::config
