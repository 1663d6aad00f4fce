#pragma once

#include <core/instant.h>

#include <compare>
#include <string>

namespace ej::front {

/// What a silence monitor observed of an engine that may be lost.
struct silence_report {
    std::string detail;
    core::duration silent_for{};
    bool reachable = true;       ///< As far as its latest liveness check has shown.
    core::duration timer_late{}; ///< By how much the lane ran the monitor's timer late.

    friend auto operator<=>(const silence_report&, const silence_report&) = default;
};

} // namespace ej::front
