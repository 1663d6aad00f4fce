#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace ej::core {

/// A counter of one kind, from 0 to 2^64-1. Numbers of different kinds do not convert to each
/// other.
template <class Tag>
class number {
public:
    constexpr number() = default;
    constexpr explicit number(std::uint64_t value) : value_(value) {}

    /// The plain integer.
    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }

    /// The number that is `step` later.
    [[nodiscard]] constexpr number plus(std::uint64_t step) const { return number(value_ + step); }

    /// The number that follows.
    [[nodiscard]] constexpr number next() const { return plus(1); }

    friend constexpr auto operator<=>(number, number) = default;
    friend std::ostream& operator<<(std::ostream& out, number number)
    {
        return out << number.value_;
    }

private:
    std::uint64_t value_ = 0;
};

} // namespace ej::core
