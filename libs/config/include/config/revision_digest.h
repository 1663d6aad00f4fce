#pragma once

#include <config/history_digest.h>

#include <core/instant.h>
#include <core/revision.h>

#include <compare>
#include <optional>

namespace ej::config {

/// The configuration that one daemon has in force; sent to other daemons periodically.
struct revision_digest {
    core::revision revision;
    history_digest history;
    std::optional<core::duration>
        contact_age; ///< Since the last contact with the platform's service.

    friend auto operator<=>(const revision_digest&, const revision_digest&) = default;
};

} // namespace ej::config
