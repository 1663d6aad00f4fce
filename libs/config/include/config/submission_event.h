#pragma once

#include <config/deadline_passed.h>
#include <config/fetch_failed.h>
#include <config/stored_change_log.h>
#include <config/stored_snapshot.h>
#include <config/write_answered.h>

#include <variant>

namespace ej::config {

/// An input that the driver passes to `change_submission`.
using submission_event =
    std::variant<stored_change_log, stored_snapshot, write_answered, fetch_failed, deadline_passed>;

} // namespace ej::config
