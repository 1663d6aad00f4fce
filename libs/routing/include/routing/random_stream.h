#pragma once

#include <cstdint>

namespace ej::routing {

/// Pseudo-random numbers (SplitMix64); equal seeds give equal sequences.
class random_stream {
public:
    explicit constexpr random_stream(std::uint64_t seed) : state_(seed) {}

    /// The next number, 0 to `bound` - 1; `bound` >= 1.
    constexpr std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// The next number.
    constexpr std::uint64_t next()
    {
        state_ += 0x9e3779b97f4a7c15;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
        return mixed ^ (mixed >> 31);
    }

private:
    std::uint64_t state_;
};

} // namespace ej::routing
