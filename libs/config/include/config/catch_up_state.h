#pragma once

namespace ej::config {

/// How a log of changes relates to the configuration in force.
enum class catch_up_state {
    advanced, ///< The log has later changes and no gap before them.
    same,     ///< Both end at the same revision.
    older,    ///< The log ends at an earlier revision.
    gap,      ///< The log begins at a later revision.
    diverged  ///< The log has other changes under the same revisions.
};

} // namespace ej::config
