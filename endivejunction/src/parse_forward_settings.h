#pragma once

#include "forward_settings.h"

#include <core/findings.h>

#include <span>
#include <string>

namespace ej {

/// Reads the settings of `forward`: flags go before environment variables (EJ_FLAG_NAME), these
/// before the lines "name = value" of the settings file. Faults are noted with their place; names
/// in the file that are unknown are skipped, since platforms add some.
[[nodiscard]] forward_settings parse_forward_settings(std::span<const std::string> arguments,
                                                      core::findings& faults);

/// The help text.
[[nodiscard]] std::string forward_settings_help();

} // namespace ej
