#pragma once

#include <core/address.h>
#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::platform {

/// Where the platform is and how long its calls may take.
struct client_settings {
    core::address platform;
    core::duration deadline = std::chrono::seconds(1); ///< Of a call; a watch's wait adds; > 0.

    friend auto operator<=>(const client_settings&, const client_settings&) = default;
};

} // namespace ej::platform
