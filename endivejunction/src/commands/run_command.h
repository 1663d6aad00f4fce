#pragma once

#include <ostream>
#include <span>
#include <string>
#include <string_view>

namespace ej::commands {

/// True if `name` begins an operator command ("class", "workspace", "status", "drain", "restore").
[[nodiscard]] bool is_operator_command(std::string_view name);

/// Runs the operator command `arguments` ("class", "create", "dossier", flags...). Returns the
/// exit code: 0 done, 1 failed, 2 usage, 3 conflict, 4 outcome unknown.
[[nodiscard]] int run_command(std::span<const std::string> arguments, std::ostream& out,
                              std::ostream& err);

} // namespace ej::commands
