#pragma once

#include <config/configuration.h>
#include <config/snapshot_write_effect.h>
#include <config/stored_base.h>
#include <config/stored_tail.h>
#include <config/tail_limits.h>
#include <config/write_answered.h>

#include <optional>

namespace ej::config {

/// Writes a snapshot, then replaces the log by one that starts at or before the snapshot's
/// revision. A step that fails ends the compaction; after each step, the stored snapshot and log
/// can be read together.
class snapshot_write {
public:
    /// `replacement.log` begins at or before the revision of `snapshot`; its key revision is that
    /// of the log stored now.
    snapshot_write(configuration snapshot, stored_tail replacement);

    /// The first effect.
    [[nodiscard]] static snapshot_write_effect start();

    /// The next effect after the snapshot was read.
    [[nodiscard]] snapshot_write_effect on(const stored_base& event);

    /// The next effect after a write was answered or timed out.
    [[nodiscard]] snapshot_write_effect on(const write_answered& event);

private:
    using step = snapshot_write_effect (snapshot_write::*)() const;

    [[nodiscard]] snapshot_write_effect replace_log() const;
    [[nodiscard]] snapshot_write_effect complete() const;

    configuration snapshot_;
    stored_tail replacement_;
    step after_write_ = &snapshot_write::replace_log;
};

/// The shorter log that should replace `stored`; none while `stored` is within `limits`.
[[nodiscard]] std::optional<stored_tail> shortened(const stored_tail& stored,
                                                   const tail_limits& limits);

} // namespace ej::config
