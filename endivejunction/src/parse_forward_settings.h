#pragma once

#include "forward_settings.h"

#include <core/findings.h>

#include <span>
#include <string>

namespace ej {

/// Reads the settings of `forward`: flags take precedence over environment variables
/// (EJ_FLAG_NAME), and these over the lines "name = value" of the settings file. Faults are
/// reported with their place; unknown names in the file are skipped, since platforms add some.
[[nodiscard]] forward_settings parse_forward_settings(std::span<const std::string> arguments,
                                                      core::findings& faults);

/// The help text.
[[nodiscard]] std::string forward_settings_help();

} // namespace ej
