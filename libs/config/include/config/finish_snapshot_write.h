#pragma once

#include <compare>

namespace ej::config {

/// The compaction has ended.
struct finish_snapshot_write {
    bool complete = false; ///< Both snapshot and log are known to be written; else either may be.

    friend auto operator<=>(const finish_snapshot_write&, const finish_snapshot_write&) = default;
};

} // namespace ej::config
