#pragma once

#include <config/finish_submission.h>
#include <config/read_change_log.h>
#include <config/read_snapshot.h>
#include <config/write_change_log.h>

#include <variant>

namespace ej::config {

/// The next action that `change_submission` requests from its driver.
using submission_effect =
    std::variant<read_change_log, read_snapshot, write_change_log, finish_submission>;

} // namespace ej::config
