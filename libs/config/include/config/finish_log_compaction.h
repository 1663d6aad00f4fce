#pragma once

#include <compare>

namespace ej::config {

/// The compaction has ended.
struct finish_log_compaction {
    bool complete = false; ///< Both snapshot and log are known to be written; else either may be.

    friend auto operator<=>(const finish_log_compaction&, const finish_log_compaction&) = default;
};

} // namespace ej::config
