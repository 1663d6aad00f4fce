#pragma once

namespace ej::config {

/// How a log of changes relates to the configuration in force.
enum class catch_up_state {
    advanced, ///< It holds later changes, without a gap.
    same,     ///< Both end at the same revision.
    older,    ///< It ends at an earlier revision.
    gap,      ///< It begins at a later revision.
    diverged  ///< The same revisions were made by other changes.
};

} // namespace ej::config
