#pragma once

#include <span>
#include <string>

namespace ej {

/// Runs a daemon until SIGTERM or SIGINT and all requests have ended. Returns the exit code.
int serve(std::span<const std::string> arguments);

} // namespace ej
