#pragma once

#include <retry/may_have_run.h>
#include <retry/not_run.h>

#include <variant>

namespace ej::retry {

/// An attempt that ended without a response.
using lost_attempt = std::variant<not_run, may_have_run>;

} // namespace ej::retry
