#pragma once

#include <retry/may_have_run.h>
#include <retry/not_run.h>

#include <variant>

namespace ej::retry {

/// How an attempt ended without an answer.
using lost_attempt = std::variant<not_run, may_have_run>;

} // namespace ej::retry
