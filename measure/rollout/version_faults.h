#pragma once

#include "version_fault.h"

#include <array>

namespace ej::measure {

/// Versions that are replayed; the first is good.
inline constexpr std::array<version_fault, 8> version_faults{{
    {"good"},
    {"fails 1 in 10", 0.1},
    {"fails 1 in 3", 0.33},
    {"1 in 3 takes 4 times as long", 0, 0.33, 4},
    {"all take 3 times as long", 0, 1, 3},
    {"fails 1 in 3 on one route", 0.33, 0, 1, 0, true},
    {"fails 1 in 3 under load", 0.33, 0, 1, 0, false, true},
    {"fails 1 in 3 from half of the time on", 0.33, 0, 1, 0.5},
}};

} // namespace ej::measure
