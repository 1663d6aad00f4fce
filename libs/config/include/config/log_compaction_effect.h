#pragma once

#include <config/finish_log_compaction.h>
#include <config/read_snapshot.h>
#include <config/write_change_log.h>
#include <config/write_snapshot.h>

#include <variant>

namespace ej::config {

/// The next action that a compaction requests from its driver.
using log_compaction_effect =
    std::variant<read_snapshot, write_snapshot, write_change_log, finish_log_compaction>;

} // namespace ej::config
