#pragma once

#include <config/deadline_passed.h>
#include <config/fetch_failed.h>
#include <config/stored_base.h>
#include <config/stored_tail.h>
#include <config/write_answered.h>

#include <variant>

namespace ej::config {

/// An input that the driver passes to `change_submission`.
using submission_event =
    std::variant<stored_tail, stored_base, write_answered, fetch_failed, deadline_passed>;

} // namespace ej::config
