#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

namespace ej::measure {

/// What the engines of one service and their callers do during one run.
struct load_pattern {
    std::string_view name;
    double rate = 0.27;                       ///< Generations a second for each engine.
    double burst = 1;                         ///< Times the rate, during the burst.
    std::chrono::milliseconds begin{6'000};   ///< Of the burst and of the losses.
    std::chrono::milliseconds length{10'000}; ///< Of the burst.
    double lost = 0;                          ///< Part of the engines that crash at the begin.
    std::chrono::milliseconds back_after{};   ///< Then they are back, empty; 0: they are gone.
    std::size_t waves = 1;                    ///< Such crashes, seven seconds apart.
    double give_up = 0;      ///< Part of the callers that leave after half the target.
    double hot = 0;          ///< Part of the callers that reach the first daemon.
    double long_prompts = 0; ///< Part of the prompts that are four times as long.
    std::chrono::milliseconds end{34'000}; ///< Of the arrivals.
    std::size_t engines = 18;
    std::size_t daemons = 9;
};

} // namespace ej::measure
