#pragma once

#include <compare>
#include <string>

namespace ej::seal {

/// A secret shared by all daemons of the fleet; at least `min_secret_bytes` long.
struct secret {
    std::string bytes;

    friend auto operator<=>(const secret&, const secret&) = default;
};

inline constexpr std::size_t min_secret_bytes = 16;

} // namespace ej::seal
