#pragma once

#include <harness/stream_state.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace ej::demo {

/// How one generation went.
struct stream_result {
    std::string name;
    bool whole = false; ///< Equal to the engine's text, byte for byte.
    std::uint64_t tokens = 0;
    std::chrono::milliseconds first_token{};
    std::chrono::milliseconds longest_gap{}; ///< Between two outputs after the first.
    std::string error;
};

} // namespace ej::demo
