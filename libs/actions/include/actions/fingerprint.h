#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace ej::actions {

/// A 128-bit digest. `Tag` makes digests of different kinds distinct types.
template <class Tag>
struct fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend constexpr auto operator<=>(const fingerprint&, const fingerprint&) = default;
    friend std::ostream& operator<<(std::ostream& out, const fingerprint& value)
    {
        return out << value.high << '-' << value.low;
    }
};

} // namespace ej::actions
