#pragma once

#include <core/instant.h>

#include <array>
#include <cstdint>

namespace ej::admission {

/// Counts requests that met and missed their target over the last ten seconds. Not thread-safe.
class outcome_window {
public:
    /// Records a request that met or missed its target.
    void add(bool met, core::instant now);

    /// Fraction of requests that missed their target; 0 to 1, 0 without requests.
    [[nodiscard]] double missed_share(core::instant now) const;

private:
    struct second {
        std::int64_t number = 0;
        std::uint64_t met = 0;
        std::uint64_t missed = 0;
    };

    static constexpr std::size_t length_seconds = 10;

    std::array<second, length_seconds> seconds_{};
};

} // namespace ej::admission
