#pragma once

#include <core/instant.h>

#include <chrono>
#include <cstddef>

namespace ej::measure {

/// A service and the daemons before it.
struct rollout_load {
    std::size_t daemons = 72;
    double requests_per_second = 58;
    std::size_t endpoints = 224;                    ///< Of each version.
    core::duration time = std::chrono::seconds(16); ///< Of the order.
    double usual_failures = 0.01;                   ///< Part of the answers of every version.
    core::duration run = std::chrono::seconds(5);   ///< From the first output to the end.
    double crash_wave = 0; ///< Part of the answers of both versions that fail for 1.2 s every 5 s.
};

} // namespace ej::measure
