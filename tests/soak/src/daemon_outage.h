#pragma once

#include <core/instant.h>

#include <compare>
#include <cstddef>

namespace ej::soak {

/// The interval from the signal that ends a daemon to its restart.
struct daemon_outage {
    std::size_t daemon = 0;
    core::instant at{};
    core::instant until{};

    friend auto operator<=>(const daemon_outage&, const daemon_outage&) = default;
};

} // namespace ej::soak
