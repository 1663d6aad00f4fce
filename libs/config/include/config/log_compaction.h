#pragma once

#include <config/change_log_limits.h>
#include <config/configuration.h>
#include <config/log_compaction_effect.h>
#include <config/stored_change_log.h>
#include <config/stored_snapshot.h>
#include <config/write_answered.h>

#include <optional>

namespace ej::config {

/// Writes a snapshot, then replaces the log by one that starts at or before the snapshot's
/// revision. A step that fails ends the compaction; after each step, the stored snapshot and log
/// can be read together.
class log_compaction {
public:
    /// `replacement.log` begins at or before the revision of `snapshot`; its key revision is that
    /// of the log stored now.
    log_compaction(configuration snapshot, stored_change_log replacement);

    /// The first effect.
    [[nodiscard]] static log_compaction_effect start();

    /// The next effect after the snapshot was read.
    [[nodiscard]] log_compaction_effect on(const stored_snapshot& event);

    /// The next effect after a write was answered or timed out.
    [[nodiscard]] log_compaction_effect on(const write_answered& event);

private:
    using step = log_compaction_effect (log_compaction::*)() const;

    [[nodiscard]] log_compaction_effect replace_log() const;
    [[nodiscard]] log_compaction_effect complete() const;

    configuration snapshot_;
    stored_change_log replacement_;
    step after_write_ = &log_compaction::replace_log;
};

/// The shorter log that should replace `stored`; none while `stored` is within `limits`.
[[nodiscard]] std::optional<stored_change_log> compacted(const stored_change_log& stored,
                                                         const change_log_limits& limits);

} // namespace ej::config
