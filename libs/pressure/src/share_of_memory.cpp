#include <pressure/share_of_memory.h>

#include <algorithm>

namespace ej::pressure {

namespace {

// An ordinary request with its header and a short body.
constexpr std::size_t usual_request_bytes = std::size_t{32} << 10;

} // namespace

holding_limits share_of_memory(std::size_t memory, std::size_t connections, std::size_t parts,
                               std::size_t largest)
{
    constexpr std::size_t least = 1;
    const auto bytes = std::max(memory / parts, largest);
    const auto most = std::max(connections / parts, least);
    // All the small ones together hold at most half as much again.
    return {most, bytes, std::min(usual_request_bytes, bytes / 2 / most)};
}

} // namespace ej::pressure
