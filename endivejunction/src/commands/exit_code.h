#pragma once

namespace ej::commands {

/// What a command tells the shell.
enum class exit_code : int {
    done = 0,
    failed = 1,   ///< Not made: refused or not reached.
    usage = 2,    ///< Faulty command line.
    conflict = 3, ///< Not made: someone else changed the object meanwhile.
    unknown = 4   ///< It may have been made.
};

} // namespace ej::commands
