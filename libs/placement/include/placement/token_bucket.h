#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::placement {

/// Bounds the megabytes read from the weight store over time.
class token_bucket {
public:
    /// `per_second` and `burst` in megabytes, > 0. Starts full at the first use.
    token_bucket(std::uint64_t per_second, std::uint64_t burst)
        : per_second_(per_second), burst_(burst), available_(static_cast<double>(burst))
    {
    }

    /// Takes `megabytes` if there are as many, or if the bucket is full and they exceed it; then
    /// the bucket is in debt until they are paid off.
    [[nodiscard]] bool take(std::uint64_t megabytes, core::instant now);

    friend auto operator<=>(const token_bucket&, const token_bucket&) = default;

private:
    std::uint64_t per_second_;
    std::uint64_t burst_;
    double available_;
    core::instant refilled_;
};

} // namespace ej::placement
