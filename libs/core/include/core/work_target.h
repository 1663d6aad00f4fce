#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace ej::core {

/// Service targets and limits that operators set for a class of work.
struct work_target {
    std::chrono::milliseconds first_token{1'000}; ///< Longest time to the first output; > 0.
    std::chrono::milliseconds finish{30'000};     ///< Longest time to the whole answer; > 0.
    std::chrono::milliseconds resume{1'000};      ///< Longest gap in the output after a loss; > 0.
    std::uint32_t max_waiting = 1'000;    ///< Requests that may wait per daemon; 1 to 100000.
    std::uint32_t extra_work_percent = 5; ///< Work beyond a failure-free run; 0 to 100.

    friend auto operator<=>(const work_target&, const work_target&) = default;
};

} // namespace ej::core
