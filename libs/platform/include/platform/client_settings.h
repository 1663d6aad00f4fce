#pragma once

#include <core/address.h>
#include <core/instant.h>

#include <chrono>
#include <compare>

namespace ej::platform {

/// Address of the platform and deadline of calls to it.
struct client_settings {
    core::address platform;
    core::duration deadline = std::chrono::seconds(1); ///< Of a call; a watch adds its wait; > 0.

    friend auto operator<=>(const client_settings&, const client_settings&) = default;
};

} // namespace ej::platform
