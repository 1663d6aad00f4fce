#pragma once

#include <caller_front/front_settings.h>
#include <logging/level.h>

#include <compare>
#include <string>

namespace ej {

/// Settings of `forward`, from flags, environment variables and a file.
struct forward_settings {
    front::front_settings front;
    std::string site = "fleet"; ///< Name of the platform.
    std::string file;           ///< Settings file, read again when it changes; empty: none.
    logging::level log_level = logging::level::info;
    bool help = false;

    friend auto operator<=>(const forward_settings&, const forward_settings&) = default;
};

} // namespace ej
