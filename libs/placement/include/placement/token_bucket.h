#pragma once

#include <core/instant.h>

#include <compare>
#include <cstdint>

namespace ej::placement {

/// Limits the rate, in megabytes, of reads from the weight store.
class token_bucket {
public:
    /// `per_second` and `burst` in megabytes, > 0. Starts full at the first use.
    token_bucket(std::uint64_t per_second, std::uint64_t burst)
        : per_second_(per_second), burst_(burst), available_(static_cast<double>(burst))
    {
    }

    /// Takes `megabytes` if that many are available. A request larger than `burst` is granted when
    /// the bucket is full; the balance is then negative until it is refilled.
    [[nodiscard]] bool take(std::uint64_t megabytes, core::instant now);

    friend auto operator<=>(const token_bucket&, const token_bucket&) = default;

private:
    std::uint64_t per_second_;
    std::uint64_t burst_;
    double available_;
    core::instant refilled_;
};

} // namespace ej::placement
