#pragma once

#include <harness/stream_state.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace ej::demo {

/// Outcome of one generation.
struct stream_result {
    std::string name;
    bool complete = false; ///< The stream ended and its text is the engine's, byte for byte.
    std::uint64_t tokens = 0;
    std::chrono::milliseconds first_token{};
    std::chrono::milliseconds longest_gap{}; ///< Between two outputs after the first.
    std::string error;
};

} // namespace ej::demo
