#pragma once

namespace ej::commands {

/// Exit code of a command.
enum class exit_code : int {
    done = 0,
    failed = 1,   ///< Not made: refused, or the daemon was not reached.
    usage = 2,    ///< Invalid command line.
    conflict = 3, ///< Not made: the object was changed concurrently.
    unknown = 4   ///< It may have been made.
};

} // namespace ej::commands
