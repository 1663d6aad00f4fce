#pragma once

#include "load_pattern.h"

#include <array>

namespace ej::measure {

/// The patterns that are compared and replayed by tests.
inline constexpr std::array<load_pattern, 9> load_patterns{{
    {.name = "calm"},
    {.name = "burst 2.5x", .burst = 2.5},
    {.name = "burst 3.5x", .burst = 3.5},
    {.name = "burst 2.5x, 0.4 of the engines lost", .burst = 2.5, .lost = 0.4},
    {.name = "the same beside impatient callers and a hot daemon",
     .burst = 2.5,
     .lost = 0.4,
     .give_up = 0.2,
     .hot = 0.3},
    {.name = "waves of crashes",
     .lost = 0.3,
     .back_after = std::chrono::milliseconds(1'200),
     .waves = 4},
    {.name = "burst 3x, empty engines come",
     .burst = 3,
     .lost = 0.3,
     .back_after = std::chrono::milliseconds(5'000)},
    {.name = "long prompts among short", .rate = 0.22, .burst = 2, .long_prompts = 0.1},
    {.name = "burst 3.5x at 62 daemons", .burst = 3.5, .engines = 60, .daemons = 62},
}};

} // namespace ej::measure
