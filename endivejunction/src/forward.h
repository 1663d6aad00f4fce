#pragma once

#include <span>
#include <string>

namespace ej {

/// Runs a forwarding daemon until a signal ends it; returns the process's exit status.
int forward(std::span<const std::string> arguments);

} // namespace ej
