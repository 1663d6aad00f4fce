#pragma once

#include "serve_settings.h"

#include <core/findings.h>

#include <span>
#include <string>

namespace ej {

/// Reads flags and, for flags not given, environment variables ("--fleet-secret" is
/// EJ_FLEET_SECRET). All faults go to `faults` with the flag as their place.
[[nodiscard]] serve_settings parse_settings(std::span<const std::string> arguments,
                                            core::findings& faults);

/// The flags with their units and defaults.
[[nodiscard]] std::string settings_help();

} // namespace ej
