#pragma once

#include <logging/level.h>
#include <runtime/daemon_settings.h>

namespace ej {

/// Settings of the commands `serve` and `check`.
struct serve_settings {
    runtime::daemon_settings daemon;
    logging::level log_level = logging::level::info;
    bool help = false; ///< --help was given; the rest is not read.
};

} // namespace ej
