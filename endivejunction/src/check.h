#pragma once

#include <span>
#include <string>

namespace ej {

/// Checks the settings of `serve` and prints all faults. Returns the exit code: 0 when there are
/// none.
int check(std::span<const std::string> arguments);

} // namespace ej
