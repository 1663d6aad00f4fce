#pragma once

#include "command_options.h"

#include <core/findings.h>

#include <span>
#include <string>

namespace ej::commands {

/// Reads flags, the environment (EJ_OPERATOR, EJ_OPERATOR_KEY) and the object's name; adds every
/// fault to `faults`.
[[nodiscard]] command_options parse_options(std::span<const std::string> arguments,
                                            core::findings& faults);

/// The flags with units and defaults.
[[nodiscard]] std::string options_help();

} // namespace ej::commands
