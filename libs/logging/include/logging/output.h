#pragma once

namespace ej::logging {

/// Where log lines go.
enum class output {
    standard_error, ///< Each line at once.
    standard_output ///< By a thread of its own; lines that the reader does not take are dropped.
};

} // namespace ej::logging
