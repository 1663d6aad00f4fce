#pragma once

namespace ej::logging {

/// Destination of log lines.
enum class output {
    standard_error, ///< Each line is written at once by its caller.
    standard_output ///< Written by a separate thread; dropped if the reader does not keep up.
};

} // namespace ej::logging
