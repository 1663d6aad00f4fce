#pragma once

#include "command.h"

#include <memory>
#include <string_view>

namespace ej::commands {

/// A row of the table of commands.
struct command_row {
    std::string_view group; ///< "class".
    std::string_view verb;  ///< "create"; empty when the group has one command only.
    std::string_view brief;
    std::unique_ptr<command> handler;
};

} // namespace ej::commands
