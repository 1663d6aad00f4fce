#pragma once

#include <config/committed_change.h>
#include <config/history_digest.h>

#include <core/revision.h>

#include <compare>
#include <vector>

namespace ej::config {

/// The most recent changes, in the order of their revisions and without a gap.
struct tail {
    core::revision after;   ///< Revision before the first change in the log.
    history_digest history; ///< Digest of the history up to `after`.
    std::vector<committed_change> changes;

    /// Revision of the last change; `after` if the log is empty.
    [[nodiscard]] core::revision last() const { return after.plus(changes.size()); }

    friend auto operator<=>(const tail&, const tail&) = default;
};

/// Digest of the history up to `revision`, which lies within [after, last()].
[[nodiscard]] history_digest history_at(const tail& log, core::revision revision);

/// The part of `log` after `revision`, which lies within [after, last()].
[[nodiscard]] tail since(const tail& log, core::revision revision);

/// `log` with `made` appended under the next revision.
[[nodiscard]] tail append(const tail& log, const change& made);

} // namespace ej::config
