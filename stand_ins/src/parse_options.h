#pragma once

#include "options.h"

#include <absl/status/statusor.h>

namespace ej::stand_ins {

/// Parses the command line: the role, then flags.
[[nodiscard]] absl::StatusOr<options> parse_options(int count, const char* const* arguments);

} // namespace ej::stand_ins
