#pragma once

#include <config/committed_change.h>
#include <config/history_digest.h>

#include <core/revision.h>

#include <compare>
#include <vector>

namespace ej::config {

/// The most recent changes without a gap, in the order of their revisions.
struct tail {
    core::revision after;   ///< Revision before the first change.
    history_digest history; ///< Digest of the history up to `after`.
    std::vector<committed_change> changes;

    /// Revision after the last change.
    [[nodiscard]] core::revision last() const { return after.plus(changes.size()); }

    friend auto operator<=>(const tail&, const tail&) = default;
};

/// Digest of the history up to `revision`, which lies within [after, last()].
[[nodiscard]] history_digest history_at(const tail& log, core::revision revision);

/// `log` without its changes up to `revision`, which lies within [after, last()].
[[nodiscard]] tail since(const tail& log, core::revision revision);

/// `log` with one more change; its revision is made the one that follows.
[[nodiscard]] tail append(const tail& log, const change& made);

} // namespace ej::config
