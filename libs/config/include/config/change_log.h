#pragma once

#include <config/committed_change.h>
#include <config/history_digest.h>

#include <core/revision.h>

#include <compare>
#include <vector>

namespace ej::config {

/// The most recent changes, in the order of their revisions and without a gap.
struct change_log {
    core::revision after;   ///< Revision before the first change in the log.
    history_digest history; ///< Digest of the history up to `after`.
    std::vector<committed_change> changes;

    /// Revision of the last change; `after` if the log is empty.
    [[nodiscard]] core::revision last() const { return after.plus(changes.size()); }

    friend auto operator<=>(const change_log&, const change_log&) = default;
};

/// Digest of the history up to `revision`, which lies within [after, last()].
[[nodiscard]] history_digest history_at(const change_log& log, core::revision revision);

/// The part of `log` after `revision`, which lies within [after, last()].
[[nodiscard]] change_log since(const change_log& log, core::revision revision);

/// `log` with `made` appended under the next revision.
[[nodiscard]] change_log append(const change_log& log, const change& made);

} // namespace ej::config
