#pragma once

#include <config/finish_submission.h>
#include <config/read_base.h>
#include <config/read_tail.h>
#include <config/write_tail.h>

#include <variant>

namespace ej::config {

/// The next action that `change_submission` requests from its driver.
using submission_effect = std::variant<read_tail, read_base, write_tail, finish_submission>;

} // namespace ej::config
