#pragma once

#include <config/finish_snapshot_write.h>
#include <config/read_base.h>
#include <config/write_base.h>
#include <config/write_tail.h>

#include <variant>

namespace ej::config {

/// The next action that a compaction requests from its driver.
using snapshot_write_effect =
    std::variant<read_base, write_base, write_tail, finish_snapshot_write>;

} // namespace ej::config
